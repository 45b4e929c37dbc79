package membership

import (
	"fmt"
	"net/netip"
)

// While a fleet is partitioned, its parts may accept two processes under one name. When the parts merge, the process with
// the lower boot ID keeps the name.

// yieldName gives up this member's name to the process at an address. It sends no leave, as the name stays alive.
func (v *View) yieldName(to netip.AddrPort) {
	v.joined = false
	v.nextJoinAt = v.now + nameRetryIntervalMs
	v.dropProbes()
	v.setStatus(StatusNameTaken, fmt.Sprintf(causeNameTakenFormat, to))
}

// keepName advances this member's incarnation above that of the other process of its name, and rejects that process.
func (v *View) keepName(other netip.AddrPort, incarnation uint64) {
	v.advanceIncarnation(incarnation)
	v.rejectJoin(other, v.cfg.Addr)
}

// handleNameConflict handles a message from another process of this member's name.
func (v *View) handleNameConflict(from netip.AddrPort, message *Message) {
	if message.BootID < v.cfg.BootID {
		v.yieldName(from)
		return
	}
	v.keepName(from, message.Incarnation)
}

// handleRecordAboutSelf handles a record with this member's name, which may describe this process or another one.
func (v *View) handleRecordAboutSelf(record *Record) {
	isSelf := record.BootID == v.cfg.BootID || record.Addr == v.cfg.Addr
	switch {
	case isSelf || record.State != Alive:
		rumor := record.rumor()
		v.handleRumorAboutSelf(&rumor)
	case record.Incarnation < v.self.Incarnation: // other members already prefer this process
	case record.BootID < v.cfg.BootID:
		v.yieldName(record.Addr)
	default:
		v.keepName(record.Addr, record.Incarnation)
	}
}
