package fleet

// DigestBuckets is into how many buckets, by a hash of the name, the entries of a registry are digested. Two
// registries whose digests of a bucket are equal hold the same versions of the same entries in it.
const DigestBuckets = 64

// Version names one version of a member's entry; Newer tells which of two is the later.
type Version struct {
	Name        string
	Incarnation uint64
	Version     uint64
}
