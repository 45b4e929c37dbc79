// Package decide makes the decisions of a client library that routes reads and
// writes in a replicated store. It holds no goroutine, clock, I/O or global: a
// host builds one Router with New, feeds it what happened with Step and carries
// out the Actions that come back. This file is the interface; every decision is
// in decide.go, list.go, ban.go and near.go.
//
// A host calls Step whenever it has events and whenever the time of the last
// Wake has come. After a restart it builds a new Router with a new seed; what the
// old one held is gone. New returns an error for settings that it can't work
// with. Events about requests, attempts or members that the Router doesn't know,
// or that come twice or late, are ignored; a clock that goes back stands still.
// A Router that holds nothing asks for no Wake.
package routing

import (
	"time"

	"merlinjunction/fleet"
)

// Position is a point of a group's log: the time, counted from Settings.Epoch,
// up to which a member has applied all commits. Zero means unknown.
type Position = time.Duration

// Need says how new the data behind an answer must be.
type Need int

// The needs of a class.
const (
	NeedAny     Need = iota // any member may answer
	NeedBounded             // no older than Class.MaxAge when sent
	NeedSession             // all that the session has written
	NeedFresh               // all that was written before the request arrived
	NeedPrimary             // a write: only the primary takes it
)

// Effect says what may be done with a request that might have run.
type Effect int

// The effects of a class.
const (
	EffectSafe   Effect = iota // may be repeated and refused freely
	EffectKeyed                // repeats are dropped inside Class.RepeatWindow
	EffectUnsafe               // must never run twice
)

// Check says what a replica does with a read that it is too far behind for.
type Check int

// The ways of checking.
const (
	CheckNone   Check = iota // it answers from what it has
	CheckRefuse              // it turns the read away at once
	CheckWait                // it waits a little, then turns the read away
)

// Class is a kind of request.
type Class struct {
	Name          string
	Need          Need
	MaxAge        time.Duration // of a NeedBounded class
	Effect        Effect
	RepeatAnyHost bool          // EffectKeyed: every member drops repeats, not just the group's
	RepeatWindow  time.Duration // EffectKeyed: for this long after the first send that might have run
	Aim           time.Duration // an answer inside it has its full worth
	Deadline      time.Duration // the client's whole patience, all tries together
	Worth         float64
	LateWorth     float64 // share of Worth for an answer after Aim
}

// Tenant is a customer with a share of the service. No decision goes by it at
// present: a quota divided by the number of routers says little where routers
// are many and uneven.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all routers
}

// Settings is what a router is told at its start.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64 // worth of a request past its tenant's share, as a share
	Routers        int     // how many there are
	Index          int     // which of them this one is, from 1; 0: nobody says
	Subset         int     // of a group's members, that this one keeps to where they are sound; 0: it uses all
	Zone           string  // where this one stands
	Tick           time.Duration
	Epoch          time.Duration // the clock time from which positions count
	Check          Check
	Carried        bool // session reads carry the age of the session's last write
	Subscribe      bool // the member list must be asked for
	MayCancel      bool
	MayProbe       bool
	MayHint        bool          // clients are told when to come back
	MaxHint        time.Duration // the longest wait that a client follows
	MaxAttempts    int
	DrainGrace     time.Duration
	ListedOnly     bool          // a member binds only once listed as draining; a missing one may still run
	ColdShare      float64       // a started member has at least this share of its capacity
	ColdTime       time.Duration // and all of it after this
	TipMultiple    float64       // more than this times its capacity pushes a cold member over
	FallTime       time.Duration // if it lasts this long
}

// Turns are this router's among all, as the settings tell them.
func (s *Settings) Turns() fleet.Turns { return fleet.Turns{Size: s.Routers, Seat: s.Index - 1} }

// State is what the list says of a member.
type State int

// The states of a member.
const (
	Gone State = iota
	Ready
	Draining
)

// Member is one entry of the member list.
type Member struct {
	ID      string
	Group   int
	Primary bool // the list's word, often late or absent
	State   State
	Started time.Duration // when it last started; 0: long ago
	Zone    string        // where it stands; "" where nobody says
}

// Role is what an answer or a report says of its sender.
type Role int

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Outcome says how an attempt or a probe ended.
type Outcome int

// The outcomes. Miss, Full, NoConnection and Moot prove that nothing ran.
const (
	OK           Outcome = iota
	Miss                 // a write at a replica, or a read that it is too far behind for
	Full                 // turned away unseen
	NoConnection         // no connection in time
	Moot                 // never sent
	Error                // it might have run
	Timeout              // it might have run
	Broken               // the connection broke; it might have run
	Cancelled            // called off; it might have run
)

// Event is something that happened; one of the types below.
type Event interface{ event() }

type (
	// List brings the member list or a change of it.
	List struct {
		Full, Failed bool
		At           time.Duration // clock time since when it counts as told, where that is earlier than now
		Members      []Member
	}
	// Request is a client's request.
	Request struct {
		ID       uint64
		Class    int    // index in Settings.Classes
		Tenant   int    // index in Settings.Tenants, or -1
		Group    int    // the only group whose members may serve it
		Session  string // "" where it has none
		WroteAgo time.Duration
		Left     time.Duration // until the client gives up
		Repeat   bool
	}
	// Result ends an attempt.
	Result struct {
		Request  uint64
		Attempt  int
		Member   string
		Outcome  Outcome
		Done     bool // the request needs no answer any more
		Role     Role
		Position Position
	}
	// Started says that a streamed answer has begun; the request is the client's now.
	Started struct{ Request uint64 }
	// ClientGone says that the request is finished.
	ClientGone struct{ Request uint64 }
	// Probed brings what a probe found.
	Probed struct {
		Member   string
		Outcome  Outcome
		Role     Role
		Position Position
	}
	// Exclude takes a member out of use until Include, whatever the list says.
	Exclude struct {
		Member string
		At     time.Duration // clock time, where it was taken out earlier than now; 0: now
	}
	// Include ends all bans of a member.
	Include struct{ Member string }
	// Beside says that another Router of the same gateway is at work, or is so no more.
	Beside struct{ Live bool }
	// Peers brings the gateways that share the members, in place of Settings.Routers and Index.
	Peers struct{ Roster *fleet.Roster }
	// Woken says that the time of a Wake has come.
	Woken struct{}
)

// toldAt is when a list counts as told.
func (l List) toldAt(now time.Duration) time.Duration {
	if l.At > 0 {
		return min(l.At, now)
	}
	return now
}

func (List) event()       {}
func (Request) event()    {}
func (Result) event()     {}
func (Started) event()    {}
func (ClientGone) event() {}
func (Probed) event()     {}
func (Exclude) event()    {}
func (Include) event()    {}
func (Beside) event()     {}
func (Peers) event()      {}
func (Woken) event()      {}

// Action is something for the host to do; one of the types below.
type Action interface{ action() }

type (
	// Attempt sends a request to a member. A request's attempts count from 0.
	Attempt struct {
		Request uint64
		Member  string
		GiveUp  time.Duration // clock time; 0: when the client does
		// Before is a clock time: what is not written whole by then is not sent any more. 0: there is no such time.
		Before time.Duration
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		Request uint64
		Attempt int
	}
	// Refuse is a final answer: nothing was done, trying again is harmless.
	Refuse struct {
		Request uint64
		After   time.Duration // a hint when to; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request uint64 }
	// Probe asks a member for a report.
	Probe struct{ Member string }
	// Subscribe asks for the member list and its changes.
	Subscribe struct{}
	// Wake asks for a Step with Woken after a while.
	Wake struct{ In time.Duration }
	// Log is a line for the operator.
	Log struct{ Text string }
)

func (Attempt) action()   {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Probe) action()     {}
func (Subscribe) action() {}
func (Wake) action()      {}
func (Log) action()       {}
