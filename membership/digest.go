package membership

// bucketCount is the number of buckets that members fall into by their ID. A sync sends a digest of each.
const bucketCount = 64

// digests are over the name, process and incarnation of all live members, this one included.
type digests struct {
	digest          uint64
	buckets         [bucketCount]uint64
	digestChangedAt float64
}

// toggleDigest adds a member to the digests, or removes it: they are sums by exclusive or.
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
