package membership

// bucketCount is the number of buckets into which members are divided by their ID. A SyncRequest holds a digest of each.
const bucketCount = 64

// digests holds digests of the live members, this one included. They cover each member's name, boot ID and incarnation.
type digests struct {
	digest          uint64              // digest of all live members
	buckets         [bucketCount]uint64 // digests of the live members in each bucket
	digestChangedAt float64
}

// toggleDigest adds a member to the digests, or removes it if it is included. Digests combine the members' hashes by
// exclusive or, so both are the same operation.
func (v *View) toggleDigest(m *member) {
	hash := mix64(uint64(m.id)^mix64(m.Incarnation)) ^ mix64(m.BootID)
	v.digest ^= hash
	v.buckets[m.id%bucketCount] ^= hash
	v.digestChangedAt = v.now
}

// mix64 is the finalizer of splitmix64.
func mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
