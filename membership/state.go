package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a member in messages: the 64-bit hash of its name, see IDOf.
type ID uint64

// IDOf returns the ID of the member with a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// State is the state of a member in a View. Members in the states Alive, Suspect and Unreachable are live. Live
// members are probed regularly; gossip rounds go to Alive members only.
//
//	from                to           when                                                              file
//	unknown             Alive        it joins                                                          join.go
//	                                 it introduces itself with a SyncRequest                           unknown_sender.go
//	                                 a record of it as alive arrives                                   rumor.go
//	Alive, Unreachable  Suspect      this member's probe fails and another member sends a Nack         probe.go
//	                                 a live member sends an accusation                                 rumor.go
//	Alive               Unreachable  maxUnconfirmedProbes consecutive probes fail without a Nack       probe.go
//	Unreachable         Alive        it answers a probe, in time or late                               probe.go
//	Suspect             Dead         a quorum accuses it and no refutation arrives in time             suspicion.go
//	                                 a record of its death in this incarnation arrives                 rumor.go
//	live                Dead         a live member sends a rumor of its death                          rumor.go
//	live                Left         a rumor or record of its leave arrives                            rumor.go
//	Dead                Left         a record of its leave arrives                                     rumor.go
//	all but Unreachable Alive        a newer incarnation arrives from itself or in a rumor             rumor.go
//	all                 Alive        a record of it as alive in a newer incarnation arrives            rumor.go
//	                                 another process takes over its name                               join.go
//	Dead, Left          forgotten    Tuning.DeadRetentionMs or Tuning.LeftRetentionMs has passed       member.go
//
// An answer to a probe ends neither a suspicion nor a death. Only a newer incarnation or another process of the name does
// so. A member advances its incarnation when it learns that others consider it suspect, dead or left (refutation.go).
// Rumors that a newer incarnation is suspect, dead or left apply in all states. One that it is suspect changes the state
// to Alive first and then to Suspect.
type State uint8

// The states of a member.
const (
	Alive   State = iota + 1
	Suspect       // accused, and has not refuted the accusation yet; still used as a gateway
	// Unreachable members don't answer this member, but no other member has confirmed that with a Nack. The state is not
	// gossiped, since this member may be at fault, and it doesn't expire. Without a third member that answers, a crashed
	// member is therefore never Dead and never forgotten, and it still counts as a serving gateway.
	Unreachable
	Dead // a quorum of observers got no answer from it, or others declared it dead
	Left // it announced that it left the fleet
)

// String returns the state's name in logs and reports: "alive", "suspect", "unreachable", "dead" or "left".
func (s State) String() string {
	return [...]string{"", "alive", "suspect", "unreachable", "dead", "left"}[s]
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// isLive reports whether a member in this state is probed regularly.
func (s State) isLive() bool { return s == Alive || s == Suspect || s == Unreachable }

// advertised returns the state that is sent to other members. Suspect and Unreachable are sent as Alive, because they are
// observations that others have to confirm. Accusations are sent as rumors that name the accusers.
func (s State) advertised() State {
	if s.isLive() {
		return Alive
	}
	return s
}

// Member describes one gateway as this member knows it.
type Member struct {
	Name           string
	Addr           netip.AddrPort
	Zone           string
	Version        uint8  // the newest message version that it supports
	BootID         uint64 // distinguishes processes of one name
	Incarnation    uint64 // increased by the member to refute a rumor or to announce a new payload
	State          State
	Payload        []byte
	PayloadVersion uint64  // increased by each change of the payload
	Since          float64 // time of the last state change, on the driver's clock
}
