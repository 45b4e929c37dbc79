package fleet

import "math"

// TrafficShares tells what part of a group's traffic comes to each of its hosts over the whole fleet, by index, and what part
// of this gateway's own, from what every gateway knows alike: the dealing, how warm the hosts are and the gateways' loads.
// Each gateway is taken to use what its Aperture opens for warmth alone, and to draw among that by warmth and zone (own
// counts zone times as much). Both sum up to 1 where anything can be done at all.
//
// A host that is in few subsets gets little, however much of those gateways' traffic comes to it; each gateway may thin
// its own traffic by a limit on the host divided by the host's part of all, and the sum is right.
func (d *SubsetAssignment) TrafficShares(warmth []float64, zone float64) (all, own []float64) {
	all, own = make([]float64, len(d.hosts)), make([]float64, len(d.hosts))
	if d.orders == nil { // every gateway uses all
		sum := 0.0
		for _, w := range warmth {
			sum += w
		}
		for h, w := range warmth {
			if w > 0 {
				all[h], own[h] = w/sum, w/sum
			}
		}
		return all, own
	}
	weights := make([]float64, len(d.hosts))
	for p := range d.roster.peers {
		have, sum := 0.0, 0.0
		clear(weights)
		use := func(h int) {
			have += warmth[h]
			weights[h] = warmth[h]
			if d.near(p, h) {
				weights[h] *= zone
			}
			sum += weights[h]
		}
		for _, h := range d.picks[p*d.size:][:d.size] {
			use(int(h))
		}
		if have < float64(d.size) {
			for _, h := range d.order(p)[d.size:] {
				if have >= float64(d.size) {
					break
				}
				use(h)
			}
		}
		for h, w := range weights {
			if w > 0 {
				all[h] += w / sum * d.roster.loads[p] / d.roster.total
				if p == d.roster.self {
					own[h] = w / sum
				}
			}
		}
	}
	return all, own
}

// surgeUneven is the power of a surge by which a cold host gets less. With 1 the worst hosts of three plays of join+mass at 300
// gateways got up to 1.8 times what was meant for them, and in two of thirteen plays one fell over.
const surgeUneven = 1.25

// SlowStartLimit is a limit that a fleet keeps together on a host that warms up.
type SlowStartLimit struct {
	HostCount          float64 // that a group's traffic is made for
	OverloadMultiple   float64 // times its warmth of an even part of that traffic, above which a host falls over
	UsableShare        float64 // share of it that is used: the gateways' facts differ, and traffic is uneven
	OverloadWindowMs   float64 // it falls over if that lasts so long
	AttemptsPerRequest float64 // of a request that was refused, in all
	LoadFactor         float64 // times that traffic, that there is now; 1 at the least
}

// AdmitProbability is the probability with which a request may go to a host that has so much warmth and gets so large a share of
// its group's traffic. The group's hosts are taken to carry that traffic between them, so a cold one tips where its share
// is over the tipping multiple of its warmth of an even share, or as much less as a surge brings more. However many
// gateways thin by it, the sum is right. What has waited comes all at once, and what is refused comes again: both are
// thinned the more. A surge has what comes again in it, so the stricter of the two holds. It is uneven besides: what comes
// again finds the members that are left to it, and more of it in some groups and at some gateways than each can see.
func (c SlowStartLimit) AdmitProbability(warmth, share, waitedMs float64) float64 {
	burst := 1 + waitedMs/max(c.OverloadWindowMs, 1)
	chance := c.OverloadMultiple * c.UsableShare * warmth / (max(1, c.HostCount) * share * burst)
	return min(1, chance/math.Pow(max(1, c.LoadFactor), surgeUneven), 1-math.Pow(max(0, 1-chance), 1/c.AttemptsPerRequest))
}

// AdmitRate is how many requests a second one gateway may send to such a host, by the rate that its group has answered this
// gateway while its hosts were warm.
func (c SlowStartLimit) AdmitRate(warmth, rate float64) float64 {
	return c.OverloadMultiple * c.UsableShare * warmth * rate / max(1, c.HostCount)
}

// TokenBucket holds what a gateway may still send at a rate. The zero value is empty.
type TokenBucket struct {
	left float64
	at   float64
}

// Take takes one from a budget that fills at a rate a second and keeps burst seconds of it; false where it is empty.
func (b *TokenBucket) Take(now, rate, burst float64) bool {
	b.left = min(1+rate*burst, b.left+rate*(now-b.at)/1000)
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
