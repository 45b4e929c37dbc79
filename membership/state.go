package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a member in messages: the 64-bit hash of its name, see IDOf.
type ID uint64

// IDOf is the ID of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// State is what a View believes of a member. Alive, Suspect and Unreachable members are live: they are probed and
// gossiped to.
//
//	from                to           when                                                              file
//	not known           Alive        it joins                                                          join.go
//	                                 it introduces itself with a SyncRequest                           unknown_sender.go
//	                                 a record of it as alive arrives                                   rumor.go
//	Alive, Unreachable  Suspect      this member's probe fails and another member sends a Nack         probe.go
//	                                 a live member sends an accusation                                 rumor.go
//	Alive               Unreachable  maxUnconfirmedProbes probes in a row fail without a Nack          probe.go
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
// An answer to a probe ends neither a suspicion nor a death. That takes another process of the name, or a newer
// incarnation, which the member takes when it learns what others believe of it (refutation.go). Rumors of a newer
// incarnation as suspect, dead or left apply in all states; one as suspect changes the state to Alive and then to
// Suspect.
type State uint8

// The states of a member.
const (
	Alive   State = iota + 1
	Suspect       // accused and not refuted yet; still in use
	// Unreachable is a member that doesn't answer this one while no other member confirms that with a Nack. It is not
	// gossiped, since this member may be at fault, and it doesn't expire. Without a third member that answers, a crashed
	// member is therefore never Dead and never forgotten, and it keeps counting as a gateway that serves.
	Unreachable
	Dead // enough observers got no answer
	Left // it announced that it leaves
)

// String is the state's name in logs and reports: "alive", "suspect", "unreachable", "dead" or "left".
func (s State) String() string {
	return [...]string{"", "alive", "suspect", "unreachable", "dead", "left"}[s]
}

// MarshalText is the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// isLive reports whether a member in this state is probed and gossiped to.
func (s State) isLive() bool { return s == Alive || s == Suspect || s == Unreachable }

// advertised is the state that other members are sent: one that is only suspected here, or only unreachable from here,
// counts as alive. Accusations travel as rumors.
func (s State) advertised() State {
	if s.isLive() {
		return Alive
	}
	return s
}

// Member is what is known of one gateway.
type Member struct {
	Name           string
	Addr           netip.AddrPort
	Zone           string
	Version        uint8  // the newest version of messages that it speaks
	BootID         uint64 // distinguishes processes of one name
	Incarnation    uint64 // grows whenever the member refutes what is said of it
	State          State
	Payload        []byte
	PayloadVersion uint64  // grows with each change of the payload
	Since          float64 // time of the last change of state, on the driver's clock
}
