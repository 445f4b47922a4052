package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is into how many groups the members are divided, by their names, where two registries are compared.
const DigestBuckets = 64

// Version says how new what is known of a member is.
type Version struct {
	Name        string
	Incarnation uint64
	Version     uint64 // of the newest entry or update, within the incarnation
}

// digest is a summary of the newest versions of the members that are in the view: equal where two registries know the same.
type digest struct {
	root    uint64
	buckets [DigestBuckets]uint32
}

// bucketOf is the group of a member.
func bucketOf(name string) int { return int(xxhash.Sum64String(name) % DigestBuckets) }

// toggle takes a version in, or out if it is in.
func (d *digest) toggle(v Version) {
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], v.Incarnation)
	binary.BigEndian.PutUint64(numbers[8:], v.Version)
	hash := xxhash.New()
	_, _ = hash.WriteString(v.Name) // a hash takes everything
	_, _ = hash.Write(numbers[:])
	sum := hash.Sum64()
	d.root ^= sum
	d.buckets[bucketOf(v.Name)] ^= uint32(sum)
}

// Digest returns a summary of all newest versions, and one of each bucket.
func (b *Registry) Digest() (root uint64, buckets [DigestBuckets]uint32) {
	return b.digest.root, b.digest.buckets
}

// Versions gives the newest versions of the members of a bucket that are in the view, in the order of their names.
func (b *Registry) Versions(bucket int, put func(Version)) {
	for _, name := range b.names {
		if bucketOf(name) != bucket {
			continue
		}
		if name == b.own.Name {
			put(b.own.newest())
			continue
		}
		if r := b.records[name]; !r.left {
			put(r.newest())
		}
	}
}

// Newest returns the newest version that is known of a member, also of one that is in no view any more.
func (b *Registry) Newest(name string) (Version, bool) {
	if name == b.own.Name {
		return b.own.newest(), true
	}
	r := b.records[name]
	if r == nil {
		return Version{}, false
	}
	return r.newest(), true
}

func (e *Entry) newest() Version { return Version{e.Name, e.Incarnation, e.Version} }
