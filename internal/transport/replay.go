package transport

import "merlinjunction/membership"

const (
	// windowBits is how far a counter may be below the highest one of its sender and still be accepted.
	windowBits = 512
	wordBits   = 64
	// maxWindows bounds the senders that are remembered; beyond it all are forgotten.
	maxWindows = 1 << 14
)

// ReplayFilter recognizes replayed datagrams. Its zero value is ready for use.
type ReplayFilter struct{ windows map[sender]*window }

// sender is one process of a member.
type sender struct {
	id     membership.ID
	bootID uint64
}

// window holds which of the windowBits counters up to the highest one have arrived.
type window struct {
	highest uint64
	bits    [windowBits / wordBits]uint64
}

// Accept returns whether a sender's datagram with a counter arrives for the first time, and remembers it. A counter
// that is windowBits or more below the highest one counts as a replay.
func (r *ReplayFilter) Accept(from membership.ID, bootID, counter uint64) bool {
	if r.windows == nil || len(r.windows) >= maxWindows {
		r.windows = map[sender]*window{}
	}
	key := sender{from, bootID}
	w := r.windows[key]
	if w == nil {
		w = &window{highest: counter}
		r.windows[key] = w
	}
	return w.accept(counter)
}

// Forget drops what is remembered of a sender.
func (r *ReplayFilter) Forget(id membership.ID, bootID uint64) { delete(r.windows, sender{id, bootID}) }

// accept returns whether a counter arrives for the first time, and marks it. A counter above the highest one moves the
// window; one that is below the window is rejected.
func (w *window) accept(counter uint64) bool {
	switch {
	case counter > w.highest:
		w.slideTo(counter)
	case w.highest-counter >= windowBits:
		return false
	}
	index := counter % windowBits / wordBits
	bit := uint64(1) << (counter % wordBits)
	if w.bits[index]&bit != 0 {
		return false
	}
	w.bits[index] |= bit
	return true
}

// slideTo makes a counter the highest one, and clears the bits of the counters that come into the window.
func (w *window) slideTo(counter uint64) {
	if counter-w.highest >= windowBits {
		w.bits = [windowBits / wordBits]uint64{}
		w.highest = counter
		return
	}
	for c := w.highest + 1; c <= counter; c++ {
		w.bits[c%windowBits/wordBits] &^= 1 << (c % wordBits)
	}
	w.highest = counter
}
