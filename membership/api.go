// Package membership decides which gateways of a fleet live. It holds no goroutine, clock, I/O or global: a driver
// builds one View with New, feeds it datagrams and the time with Step, and carries out the Actions that come back.
// One seed and one sequence of steps give one sequence of actions.
//
// Probing, indirect probing and incarnations come from SWIM (Das, Gupta, Motivala 2002); a member that doubts itself
// before others from Lifeguard (Dadgar, Phillips, Currey 2018); that several observers must agree before a member is
// dead from Rapid (Suresh and others 2018). docs/membership.md weighs them.
//
// All times are milliseconds. Step takes the driver's clock; time in which the driver did not call although a Wake was
// due does not count: a process that was stopped has observed nothing meanwhile. A clock that goes back stands still.
package membership

import (
	"errors"
	"fmt"
	"net/netip"
)

// ID stands for a member's name in messages: its 64-bit hash, see IDOf.
type ID uint64

// State is what a View believes of a member.
type State uint8

// The states of a member.
const (
	Alive       State = iota + 1
	Suspect           // accused, and not cleared yet; still to be used
	Unreachable       // this gateway alone gets no answer and nobody has confirmed it; told to nobody
	Dead              // enough observers got no answer
	Left              // it said goodbye
)

func (s State) String() string {
	return [...]string{"", "alive", "suspect", "unreachable", "dead", "left"}[s]
}

// MarshalText is the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Version is the newest version of messages that this package speaks. Version 1 knows one observer for an accusation
// and no payload.
const Version = 2

// Member is what is known of one gateway.
type Member struct {
	Name           string
	Addr           netip.AddrPort
	Zone           string
	Version        uint8  // the newest version of messages that it speaks
	BootID         uint64 // tells processes of one name apart
	Incarnation    uint64 // grows whenever the member contradicts what is said of it
	State          State
	Payload        []byte
	PayloadVersion uint64  // of the payload; grows with each change
	Since          float64 // time of the last change of state, on the driver's clock
}

// Config is what a View is made from.
type Config struct {
	Name    string // 1 to 64 bytes, no other process of the fleet has it
	Addr    netip.AddrPort
	Zone    string // up to 32 bytes
	Payload []byte // up to 64 bytes, for whatever comes later
	BootID  uint64 // random, not 0
	Seeds   []netip.AddrPort
	Version uint8 // 0: the newest
	Tuning
}

// Tuning holds the protocol's times, ms, and counts. Zeroes stand for the defaults, which docs/membership.md derives.
type Tuning struct {
	ProbeIntervalMs    float64 // between a member's regular probes: 350
	ProbeRetryMs       float64 // least time between two tries of a probe: 100
	GossipIntervalMs   float64 // between rounds of gossip while there is news: 100
	SuspicionTimeoutMs float64 // from enough observers to dead: 500
	DeadRetentionMs    float64 // dead members are remembered and tried again for so long: 600,000
	LeftRetentionMs    float64 // and those that left are remembered for: 30,000
	DeathQuorum        int     // that make a member dead: 4, or all that can see it where there are fewer
	IndirectProbes     int     // asked to probe where a probe stays unanswered: 4
}

// Names and payloads are bounded so that one record always fits into a datagram.
const (
	MaxName          = 64
	MaxZone          = 32
	MaxPayload       = 64
	MaxDatagramBytes = 1200 // of a datagram with everything round it
)

func (c *Config) check() error {
	switch {
	case c.Name == "" || len(c.Name) > MaxName:
		return fmt.Errorf("name: 1 to %d bytes are needed, %q has %d", MaxName, c.Name, len(c.Name))
	case !c.Addr.IsValid() || c.Addr.Port() == 0:
		return errors.New("address: the others need an address and a port")
	case len(c.Zone) > MaxZone:
		return fmt.Errorf("zone: %q is longer than %d bytes", c.Zone, MaxZone)
	case len(c.Payload) > MaxPayload:
		return fmt.Errorf("payload: %d bytes, %d at most", len(c.Payload), MaxPayload)
	case c.BootID == 0:
		return errors.New("boot: 0 tells no processes apart")
	case c.Version > Version:
		return fmt.Errorf("version: %d is not spoken, %d at most", c.Version, Version)
	}
	t := &c.Tuning
	for _, d := range []struct {
		v   *float64
		def float64
	}{{&t.ProbeIntervalMs, 350}, {&t.ProbeRetryMs, 100}, {&t.GossipIntervalMs, 100}, {&t.SuspicionTimeoutMs, 500}, {&t.DeadRetentionMs, 600_000}, {&t.LeftRetentionMs, 30_000}} {
		if *d.v == 0 {
			*d.v = d.def
		}
		if !(*d.v >= 10 && *d.v <= 1e8) {
			return fmt.Errorf("tuning: %v ms is out of range", *d.v)
		}
	}
	if t.DeathQuorum == 0 {
		t.DeathQuorum = 4
	}
	if t.IndirectProbes == 0 {
		t.IndirectProbes = 4
	}
	if t.DeathQuorum < 1 || t.DeathQuorum > mostObservers || t.IndirectProbes < 1 || t.IndirectProbes > mostObservers {
		return fmt.Errorf("tuning: observers and helpers have to be 1 to %d", mostObservers)
	}
	if c.Version == 0 {
		c.Version = Version
	}
	return nil
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping         Kind = iota + 1 // asks Target for an Ack
	Ack                          // answers a Ping, or an Ask for Target
	PingRequest                  // asks a helper to ping Target at Addr
	Nack                         // a helper's answer: Target did not answer it
	Gossip                       // only carries news
	Join                         // Records[0] is the sender; asks to be let in
	JoinAccepted                 // answers Join: let in
	JoinRejected                 // answers Join: Addr lives under that name
	SyncRequest                  // Buckets holds a digest of each part of the sender's view
	SyncResponse                 // answers Compare: records of parts that differ
	kinds
)

// Known tells whether a kind is one of this version's.
func (k Kind) Known() bool { return k > 0 && k < kinds }

func (k Kind) String() string {
	if !k.Known() {
		return fmt.Sprintf("kind %d", uint8(k))
	}
	return [...]string{"", "ping", "ack", "ask", "nack", "gossip", "join", "welcome", "refused", "compare", "page"}[k]
}

// Message is what two members say to each other. Every kind may carry news.
type Message struct {
	Kind        Kind
	Version     uint8
	From        ID
	BootID      uint64
	Incarnation uint64
	Seq         uint32 // of the Ping or Ask, and of its answer
	Attempt     uint8  // which try of a Ping; its answer repeats it
	Target      ID
	Addr        netip.AddrPort
	Digest      uint64 // of all that the sender holds to be alive
	Buckets     []uint64
	Rumors      []Rumor
	Records     []Record
}

// Rumor is news of a member that the receiver knows.
type Rumor struct {
	Subject     ID
	BootTag     uint32 // the low half of Boot: news of another process of that name is not for this record
	Incarnation uint64
	State       State
	Accusers    []ID // of Suspect: who got no answer
}

// Record is all that is told of a member.
type Record struct {
	Name           string
	Addr           netip.AddrPort
	Zone           string
	Version        uint8
	BootID         uint64
	Incarnation    uint64
	State          State
	Payload        []byte
	PayloadVersion uint64
}

// Event is something that happened: Received, Goodbye or Tell.
type Event interface{ event() }

// Received is a message that came; From is where it came from.
type Received struct {
	From    netip.AddrPort
	Message Message
}

// Leave makes this member leave: it says so to the others and answers nobody from then on.
type Leave struct{}

// SetPayload changes this member's payload, up to MaxPayload bytes; a longer one is ignored.
type SetPayload struct{ Payload []byte }

func (Received) event()   {}
func (Leave) event()      {}
func (SetPayload) event() {}

// Action is something to do: Send, Changed or Self.
type Action interface{ action() }

// Send is a message to send. It fits into MaxBytes with Overhead bytes round it.
type Send struct {
	To      netip.AddrPort
	Message Message
}

// MemberChanged tells of a member's new state. Old is 0 for a new member, New is 0 for one that is forgotten.
type MemberChanged struct {
	Member   Member
	Old, New State
	Cause    string
}

// StatusChanged tells of a new Standing of this member.
type StatusChanged struct {
	Status Status
	Cause  string
}

func (Send) action()          {}
func (MemberChanged) action() {}
func (StatusChanged) action() {}

// Status is what a member thinks of itself.
type Status uint8

// The standings.
const (
	StatusJoining Status = iota // nobody has let it in yet; it tries again and again
	StatusHealthy
	StatusSlow      // it gets too little processor time, or too few answers: it waits longer before it accuses
	StatusIsolated  // it hears nobody, though there should be somebody
	StatusDisputed  // it hears others call it dead although it contradicts
	StatusNameTaken // another process lives under its name: it stays out, and tries again and again
	StatusLeft      // it has left
)

func (s Status) String() string {
	return [...]string{"joining", "fine", "slow", "deaf", "unheard", "taken", "gone"}[s]
}

// MarshalText is the standing's name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Summary is a View in figures.
type Summary struct {
	Status                                       Status
	Alive, Suspect, Unreachable                  int // this member counts among the living
	Dead, Left                                   int
	Partial                                      bool    // it sees only a part: a fifth of the fleet and two members at least went away lately
	Health                                       int     // 0 is well, 8 the worst: times are stretched by half of it
	Loss                                         float64 // share of answered probes that needed another try
	RoundTripMs                                  float64
	PendingRumors                                int // news still to be passed on
	Accusations, Refutations, LateAnswers, Syncs uint64
}
