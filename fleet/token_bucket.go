package fleet

// TokenBucket is a rate limiter. The zero value is empty.
type TokenBucket struct {
	tokens       float64
	refilledAtMs float64
}

// Take removes one token and reports whether there was one. The bucket fills at ratePerSecond. It holds at most one token
// more than it gains in burstSeconds.
func (b *TokenBucket) Take(nowMs, ratePerSecond, burstSeconds float64) bool {
	b.tokens = min(1+ratePerSecond*burstSeconds, b.tokens+ratePerSecond*(nowMs-b.refilledAtMs)/1000)
	b.refilledAtMs = nowMs
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
