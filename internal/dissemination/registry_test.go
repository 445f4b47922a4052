package dissemination

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"pewterwheel/internal/fleet"
)

// fakeRegistry is a Registry of versions alone. Digests are sums, so that a change costs one bucket.
type fakeRegistry struct {
	versions map[string]fleet.Version
	names    [fleet.DigestBuckets][]string // sorted
	digests  [fleet.DigestBuckets]uint32
	root     uint64
}

func newFakeRegistry() *fakeRegistry { return &fakeRegistry{versions: map[string]fleet.Version{}} }

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % fleet.DigestBuckets) }

func hashOf(v fleet.Version) uint64 {
	raw := binary.BigEndian.AppendUint64([]byte(v.Name), v.Incarnation)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(raw, v.Version))
}

func (f *fakeRegistry) set(v fleet.Version) {
	bucket := bucketOf(v.Name)
	old, known := f.versions[v.Name]
	if known {
		f.root -= hashOf(old)
		f.digests[bucket] -= uint32(hashOf(old))
	} else {
		at, _ := slices.BinarySearch(f.names[bucket], v.Name)
		f.names[bucket] = slices.Insert(f.names[bucket], at, strings.Clone(v.Name))
	}
	f.versions[v.Name] = v
	f.root += hashOf(v)
	f.digests[bucket] += uint32(hashOf(v))
}

// take sets a version if it is newer, and tells whether it was.
func (f *fakeRegistry) take(v fleet.Version) bool {
	old, known := f.versions[v.Name]
	if known && !fleet.Newer(v.Incarnation, v.Version, old.Incarnation, old.Version) {
		return false
	}
	f.set(v)
	return true
}

func (f *fakeRegistry) Digest() (uint64, [fleet.DigestBuckets]uint32) { return f.root, f.digests }

func (f *fakeRegistry) Versions(bucket int, put func(fleet.Version)) {
	for _, name := range f.names[bucket] {
		put(f.versions[name])
	}
}

func (f *fakeRegistry) Newest(name string) (fleet.Version, bool) {
	v, known := f.versions[name]
	return v, known
}
