package faultsim

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"

	"merlinjunction/membership"
)

// SWIMBaseline implements the published SWIM protocol with suspicion, using the messages of package membership. It is the
// baseline to which experiments compare membership.View. It sends one direct probe in each period, and indirect probes if
// the answer does not come in time. One observer is enough for a suspicion, the time from suspect to dead is fixed, and
// dead members are not probed.
type SWIMBaseline struct {
	config      membership.Config
	random      *rand.Rand
	id          membership.ID
	incarnation uint64
	now         float64             // ms since 1970
	left        bool                // this gateway has left; Step returns nothing
	joined      bool                // this gateway is a seed, or a seed has answered its Join
	actions     []membership.Action // actions of the present Step
	members     map[membership.ID]*swimMember
	order       []*swimMember // members in the order of probing, which is shuffled after each pass
	rumors      []*swimRumor  // rumors that are still gossiped, next one first
	joinAt      float64       // time of the next attempt to join

	periodAt   float64     // when the next protocol period begins
	nextProbe  int         // index in order of the next member to probe
	target     *swimMember // member that is probed in this period; nil: none
	sequence   uint32      // sequence number of the probe
	indirectAt float64     // when the target is probed indirectly; 0: the indirect probes have been sent
	acked      bool        // the target has answered

	pendingRelays []pendingRelay
	relaySequence uint32
}

// swimMember is a member in the view of one gateway.
type swimMember struct {
	membership.Member
	id        membership.ID
	suspectAt float64 // when the member became suspect
}

// swimRumor is a gossiped change of a member's state.
type swimRumor struct {
	member *swimMember
	sent   int // number of messages that have carried the rumor
}

// pendingRelay is an indirect probe that this gateway sends on behalf of another one.
type pendingRelay struct {
	sequence          uint32 // sequence number of the relayed probe
	requesterSequence uint32 // sequence number of the requester's own probe
	requester         netip.AddrPort
	target            membership.ID
}

// The protocol period is that of membership.View, so that both protocols send about as much. The time from suspect to dead
// follows the SWIM paper: it is swimSuspicionFactor times the period times the logarithm of the fleet's size.
const (
	swimPeriodMs        = 350.0
	swimIndirectDelayMs = 100.0
	swimJoinIntervalMs  = 1000.0
	swimSuspicionFactor = 3.0
	swimGossipFactor    = 4.0 // transmissions of a rumor, divided by the logarithm of the fleet's size

	swimIndirectProbes     = 4
	swimLeaveNotifications = 16
	swimRumorsPerMessage   = 8
	swimRecordsPerPage     = 10 // records in one SyncResponse
	swimMaxRelays          = 64
	swimDroppedRelays      = 32 // number of the oldest relays that are dropped if there are more than swimMaxRelays
	swimPickAttempts       = 8
	swimMessageVersion     = 2
	// swimRelaySequenceBase separates the sequence numbers of relayed probes from those of a gateway's own probes.
	swimRelaySequenceBase = 1 << 30
)

// The reasons of the changes that the baseline reports.
const (
	reasonJoined        = "joined"
	reasonGossip        = "gossip"
	reasonStayedSuspect = "stayed suspect"
)

// NewSWIMBaseline is the NodeFactory of SWIMBaseline.
func NewSWIMBaseline(config membership.Config, seed uint64) (Node, error) {
	b := &SWIMBaseline{
		config:        config,
		random:        rand.New(rand.NewPCG(seed, 7)),
		id:            membership.IDOf(config.Name),
		incarnation:   1,
		joined:        slices.Contains(config.Seeds, config.Addr),
		members:       map[membership.ID]*swimMember{},
		relaySequence: swimRelaySequenceBase,
	}
	b.add(&membership.Record{
		Name:        config.Name,
		Addr:        config.Addr,
		Zone:        config.Zone,
		Version:     swimMessageVersion,
		BootID:      config.BootID,
		Incarnation: 1,
		State:       membership.Alive,
	})
	return b, nil
}

// Wake returns the time, in ms since 1970, of the next Step if no event comes earlier.
func (b *SWIMBaseline) Wake() float64 {
	at := min(b.periodAt, b.joinAt)
	if b.target != nil && !b.acked && b.indirectAt > b.now {
		at = min(at, b.indirectAt)
	}
	return max(at, b.now+1)
}

// Summary returns the number of pending rumors. The other counts are 0.
func (b *SWIMBaseline) Summary() membership.Summary {
	return membership.Summary{PendingRumors: len(b.rumors)}
}

// Step processes events and timers, like membership.View.Step.
func (b *SWIMBaseline) Step(ms float64, events []membership.Event) []membership.Action {
	b.actions = b.actions[:0]
	b.now = max(b.now, ms)
	if b.left {
		return nil
	}
	for _, event := range events {
		switch event := event.(type) {
		case membership.Received:
			b.receive(event.From, &event.Message)
		case membership.Leave:
			b.leave()
			return b.actions
		}
	}
	if b.now >= b.joinAt {
		b.join()
	}
	if b.target != nil && !b.acked && b.now >= b.indirectAt && b.indirectAt > 0 {
		b.probeIndirectly()
	}
	if b.now >= b.periodAt {
		b.beginPeriod()
	}
	return b.actions
}

// leave notifies swimLeaveNotifications members that this gateway leaves. The gateway does nothing afterwards.
func (b *SWIMBaseline) leave() {
	self := b.members[b.id]
	self.State = membership.Left
	b.enqueueRumor(self)
	for range swimLeaveNotifications {
		if member := b.randomMember(nil); member != nil {
			b.sendWithRumors(member.Addr, &membership.Message{Kind: membership.Gossip})
		}
	}
	b.left = true
}

// join sends a Join to a random seed, unless a Join has been answered and another member is known.
func (b *SWIMBaseline) join() {
	b.joinAt = b.now + swimJoinIntervalMs
	seed := b.config.Seeds[b.random.IntN(len(b.config.Seeds))]
	if seed != b.config.Addr && (!b.joined || len(b.order) < 2) {
		self := b.record(b.members[b.id])
		b.send(seed, &membership.Message{Kind: membership.Join, Records: []membership.Record{self}})
	}
}

// probeIndirectly asks random members to probe the target, which has not answered this gateway's probe.
func (b *SWIMBaseline) probeIndirectly() {
	b.indirectAt = 0
	for range swimIndirectProbes {
		if member := b.randomMember(b.target); member != nil {
			b.sendWithRumors(member.Addr, &membership.Message{
				Kind:   membership.PingRequest,
				Seq:    b.sequence,
				Target: b.target.id,
				Addr:   b.target.Addr,
			})
		}
	}
}

// beginPeriod ends a protocol period, in which a target without an answer becomes suspect, and begins the next one.
func (b *SWIMBaseline) beginPeriod() {
	b.periodAt = b.now + swimPeriodMs
	if target := b.target; target != nil && !b.acked && target.State == membership.Alive {
		b.set(target, membership.Suspect, target.Incarnation, noAnswerReason)
	}
	b.declareDeaths()
	b.target = nil
	if len(b.pendingRelays) > swimMaxRelays {
		b.pendingRelays = slices.Clone(b.pendingRelays[swimDroppedRelays:])
	}
	b.probeNext()
}

// declareDeaths declares members dead that have been suspect for the suspicion time.
func (b *SWIMBaseline) declareDeaths() {
	suspicionMs := swimSuspicionFactor * math.Log2(float64(len(b.order)+1)) * swimPeriodMs
	for _, member := range b.order {
		if member.State == membership.Suspect && b.now-member.suspectAt >= suspicionMs {
			b.set(member, membership.Dead, member.Incarnation, reasonStayedSuspect)
		}
	}
}

// probeNext probes the next member in order that is alive or suspect. The order is shuffled after each pass.
func (b *SWIMBaseline) probeNext() {
	for range b.order {
		if b.nextProbe >= len(b.order) {
			b.nextProbe = 0
			b.random.Shuffle(len(b.order), func(i, j int) { b.order[i], b.order[j] = b.order[j], b.order[i] })
		}
		member := b.order[b.nextProbe]
		b.nextProbe++
		if b.isProbed(member) {
			b.sequence++
			b.target, b.acked, b.indirectAt = member, false, b.now+swimIndirectDelayMs
			b.sendWithRumors(member.Addr, &membership.Message{Kind: membership.Ping, Seq: b.sequence, Target: member.id})
			return
		}
	}
}

// isProbed reports whether a member is alive or suspect and is not this gateway itself.
func (b *SWIMBaseline) isProbed(member *swimMember) bool {
	return member.id != b.id && believedUp(member.State)
}

// randomMember draws a member, apart from excluded and this gateway itself, that is alive or suspect. It returns nil if it
// finds none in swimPickAttempts draws.
func (b *SWIMBaseline) randomMember(excluded *swimMember) *swimMember {
	for range swimPickAttempts {
		member := b.order[b.random.IntN(len(b.order))]
		if member != excluded && b.isProbed(member) {
			return member
		}
	}
	return nil
}
