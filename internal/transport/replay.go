package transport

import "merlinjunction/membership"

const (
	// windowBits is the number of counters in a window: the highest counter of a sender and those just below it.
	windowBits = 512
	wordBits   = 64
	// maxWindows bounds the number of senders with a window. When it is reached, all windows are discarded.
	maxWindows = 1 << 14
)

// ReplayFilter detects replayed datagrams. Its zero value is ready for use.
type ReplayFilter struct{ windows map[sender]*window }

// sender identifies one process of a member.
type sender struct {
	id     membership.ID
	bootID uint64
}

// window records which of the windowBits counters up to the highest one have arrived.
type window struct {
	highest uint64
	bits    [windowBits / wordBits]uint64
}

// Accept reports whether a counter of a sender arrives for the first time, and records it. A counter that is windowBits
// or more below the sender's highest one counts as a replay.
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

// Forget discards the window of a sender.
func (r *ReplayFilter) Forget(id membership.ID, bootID uint64) { delete(r.windows, sender{id, bootID}) }

// accept reports whether a counter arrives for the first time, and records it. A counter above the highest one moves the
// window. A counter below the window is rejected.
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

// slideTo makes a counter the highest one, and clears the bits of the counters that enter the window.
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
