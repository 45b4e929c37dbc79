package membership

import "net/netip"

// Action is an output of Step: Send, MemberChanged or StatusChanged.
type Action interface{ action() }

// Send is a message to send. It fits into MaxDatagramBytes with DatagramOverhead bytes around it.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// MemberChanged reports a member's new state. Old is 0 for a new member, New is 0 for one that is forgotten.
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
