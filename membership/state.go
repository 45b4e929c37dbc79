package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a member in messages: the 64-bit hash of its name, see IDOf.
type ID uint64

// IDOf is the ID of a name.
func IDOf(name string) ID { return ID(xxhash.Sum64String(name)) }

// State is what a View believes of a member.
type State uint8

// The states of a member.
const (
	Alive       State = iota + 1
	Suspect           // accused and not refuted yet; still in use
	Unreachable       // it doesn't answer this gateway and nobody confirms it; not gossiped
	Dead              // enough observers got no answer
	Left              // it announced that it leaves
)

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
