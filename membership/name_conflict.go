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
func (v *View) handleNameConflict(from netip.AddrPort, message *Message) {
	if message.BootID < v.cfg.BootID {
		v.yieldName(from)
		return
	}
	v.keepName(from, message.Incarnation)
}

// handleRecordAboutSelf handles a record under this member's name: of itself, or of another process.
func (v *View) handleRecordAboutSelf(record *Record) {
	isSelf := record.BootID == v.cfg.BootID || record.Addr == v.cfg.Addr
	switch {
	case isSelf || record.State != Alive:
		rumor := record.rumor()
		v.handleRumorAboutSelf(&rumor)
	case record.Incarnation < v.self.Incarnation: // the others prefer this process already
	case record.BootID < v.cfg.BootID:
		v.yieldName(record.Addr)
	default:
		v.keepName(record.Addr, record.Incarnation)
	}
}
