package membership

import (
	"fmt"
	"net/netip"
)

// Parts of a fleet that were apart may have accepted two processes under one name. When the parts merge, the process
// with the lower boot ID stays.

// yieldName leaves the name to the process at an address. The others aren't notified: the name stays alive.
func (v *View) yieldName(to netip.AddrPort) {
	v.joined = false
	v.nextJoinAt = v.now + nameRetryIntervalMs
	v.dropProbes()
	v.setStatus(StatusNameTaken, fmt.Sprintf(causeNameTakenFormat, to))
}

// keepName raises this member's incarnation above that of the other process of its name, and notifies that process.
func (v *View) keepName(other netip.AddrPort, incarnation uint64) {
	v.advanceIncarnation(incarnation)
	v.rejectJoin(other, v.cfg.Addr)
}

// handleNameConflict handles a message of another process under this member's name.
func (v *View) handleNameConflict(from netip.AddrPort, m *Message) {
	if m.BootID < v.cfg.BootID {
		v.yieldName(from)
		return
	}
	v.keepName(from, m.Incarnation)
}

// handleRecordAboutSelf handles a record under this member's name: of itself, or of another process.
func (v *View) handleRecordAboutSelf(r *Record) {
	isSelf := r.BootID == v.cfg.BootID || r.Addr == v.cfg.Addr
	switch {
	case isSelf || r.State != Alive:
		rumor := r.rumor()
		v.handleRumorAboutSelf(&rumor)
	case r.Incarnation < v.self.Incarnation: // the others prefer this process already
	case r.BootID < v.cfg.BootID:
		v.yieldName(r.Addr)
	default:
		v.keepName(r.Addr, r.Incarnation)
	}
}
