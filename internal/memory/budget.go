// Package memory limits the memory that clients and hosts make the gateway hold.
package memory

// Budget is a limit on the memory of all objects of one kind. Whoever keeps such an object reserves its size first and
// releases it when the object is dropped. A Budget is not safe for concurrent use.
type Budget struct {
	LimitBytes int // 0: no limit

	reservedBytes int
}

// Reserve counts memory that is about to be kept. It counts nothing and returns false if that would exceed the limit.
func (b *Budget) Reserve(bytes int) bool {
	if !b.Allows(bytes) {
		return false
	}
	b.reservedBytes += bytes
	return true
}

// Release subtracts memory that was reserved and is no longer kept.
func (b *Budget) Release(bytes int) { b.reservedBytes -= bytes }

// Allows reports whether Reserve would succeed.
func (b *Budget) Allows(bytes int) bool {
	return b.LimitBytes == 0 || b.reservedBytes+bytes <= b.LimitBytes
}

// AllowsWithin reports whether, after a reservation of the given size, at most a share (0 to 1) of the limit would be
// reserved.
func (b *Budget) AllowsWithin(share float64, bytes int) bool {
	return b.LimitBytes == 0 || b.reservedBytes+bytes <= int(share*float64(b.LimitBytes))
}

// ReservedBytes returns the memory that is reserved.
func (b *Budget) ReservedBytes() int { return b.reservedBytes }
