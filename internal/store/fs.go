// Package store is a small embedded store: a log of checksummed frames in segments, an index in memory, compaction into
// a checkpoint, and recovery to the last whole state. Writing is beside the caller: handing over a batch never waits for
// the disk. All file work goes through FS, so that a faulty file system can stand in.
package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"

	"golang.org/x/sys/unix"
)

// FS is the one folder in which a store's files are.
type FS interface {
	// Create makes a file, or empties one that is there, for writing.
	Create(name string) (File, error)
	// Open opens a file for reading at any offset.
	Open(name string) (Reader, error)
	// Rename puts a file in the place of another one, at once.
	Rename(from, to string) error
	Remove(name string) error
	// List names the files, in order.
	List() ([]string, error)
	// Sync makes lasting which files there are, under which names.
	Sync() error
	// Lock keeps other processes out until it is closed.
	Lock(name string) (io.Closer, error)
}

// File is a file that is written from its beginning on.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Reader is a file that is read.
type Reader interface {
	io.ReaderAt
	Size() int64
	Close() error
}

// ErrLocked is a store that another process has open.
var ErrLocked = errors.New("another process has the store open")

// Dir is a folder of the operating system's.
type Dir string

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create makes a file.
func (d Dir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

type dirReader struct {
	*os.File
	size int64
}

func (r dirReader) Size() int64 { return r.size }

// Open opens a file.
func (d Dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close() // it was only read
		return nil, err
	}
	return dirReader{f, info.Size()}, nil
}

// Rename puts a file in another's place.
func (d Dir) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List names the files.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	sort.Strings(names)
	return names, nil
}

// Sync makes the folder's entries lasting.
func (d Dir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	err = f.Sync()
	if err2 := f.Close(); err == nil {
		err = err2
	}
	return err
}

// Lock locks a file of that name.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written to it
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d.path(name), ErrLocked)
		}
		return nil, fmt.Errorf("lock %s: %w", d.path(name), err)
	}
	return f, nil
}
