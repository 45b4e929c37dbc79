package fleet

// TokenBucket is a rate limiter. The zero value is empty.
type TokenBucket struct {
	tokens     float64
	refilledAt float64
}

// Take removes one token and reports whether there was one. The bucket fills at rate tokens a second and holds one
// token more than burst seconds add.
func (b *TokenBucket) Take(now, rate, burst float64) bool {
	b.tokens = min(1+rate*burst, b.tokens+rate*(now-b.refilledAt)/1000)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
