package membership

import "net/netip"

// Action is an output of Step: Send, MemberChanged or StatusChanged.
type Action interface{ action() }

// Send asks the driver to send a message. The message fits into a datagram of MaxDatagramBytes, of which
// DatagramOverhead bytes are reserved for everything but rumors, records and bucket digests.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// MemberChanged reports a member's new state. Old is 0 for a new member. New is 0 for a forgotten member.
type MemberChanged struct {
	Member   Member
	Old, New State
	Cause    string
}

// StatusChanged reports a new status of this member.
type StatusChanged struct {
	Status Status
	Cause  string
}

func (Send) action()          {}
func (MemberChanged) action() {}
func (StatusChanged) action() {}
