package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// View is what one gateway believes of the fleet.
type View struct {
	cfg     Config
	rng     *rand.Rand
	id      ID
	self    *member
	actions []Action // of the current step

	// The clock, see clock.go.
	started  bool
	driverMs float64 // the driver's time of the last step
	now      float64 // the View's own time, which stands still while the process doesn't run
	wakeAt   float64
	// resumedAt is when the process ran again after a late step.
	resumedAt float64

	// The members, see member.go.
	members  map[ID]*member
	zones    map[string]string
	live     []*member // Alive, Suspect and Unreachable without this member, in no order
	dead     []*member
	left     []*member
	suspects []*member
	counts   [Left + 1]int // by state, without this member
	reapAt   float64

	// Anti-entropy, see digest.go and sync.go.
	digest          uint64
	buckets         [bucketCount]uint64
	digestChangedAt float64
	lastSyncAt      float64

	// Gossip, see gossip.go.
	rumors       rumorQueue
	nextGossipAt float64
	failuresAt   []float64 // recent accusations and deaths, see isFailureBurst

	// Probes, see probe.go and probe_schedule.go.
	seq               uint32
	probes            []*probe
	finished          [finishedProbeCount]finishedProbe
	checks            []check
	probeRound        []*member // still to be visited by regular probes, in random order
	nextProbeAt       float64
	nextReconnectAt   float64
	pendingReconnects int
	nextRecheckAt     float64

	// What this member knows of itself, see health.go, status.go and refutation.go.
	status         Status
	health         localHealth
	roundTrip      roundTripEstimator
	lastReceivedAt float64
	lastAckAt      float64   // of a direct answer to this member's probe
	acksResumedAt  float64   // when an answer came after a time without any
	lastRefutedAt  float64   // when this member took its incarnation
	disputedAt     []float64 // when it was declared dead although it had refuted that

	// Joining, see join.go and unknown_sender.go.
	joined             bool
	joinedAt           float64
	nextJoinAt         float64
	joinAttempts       int
	lastUnknownReplyAt float64

	counters struct{ accusations, refutations, lateSteps, syncs uint64 }
}

// New returns a View that knows only itself. The error is a *ConfigError.
func New(cfg Config, seed uint64) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, cfg.BootID)), id: IDOf(cfg.Name),
		members: map[ID]*member{}, zones: map[string]string{}, rumors: newRumorQueue(),
	}
	v.self = &member{id: v.id, Member: Member{
		Name: cfg.Name, Addr: cfg.Addr, Zone: cfg.Zone, Version: cfg.Version, BootID: cfg.BootID, Incarnation: 1,
		State: Alive, Payload: bytes.Clone(cfg.Payload),
	}}
	v.members[v.id] = v.self
	v.toggleDigest(v.self)
	return v, nil
}

// maxRetainedActions is the capacity above which the slice of actions is not reused after a large step.
const maxRetainedActions = 64

// Step handles the events since the last call and returns what to do. driverMs is the driver's time. The actions are
// valid until the next call. Step must be called at the time of Wake at the latest.
func (v *View) Step(driverMs float64, events []Event) []Action {
	clear(v.actions)
	v.actions = v.actions[:0]
	if cap(v.actions) > maxRetainedActions {
		v.actions = nil
	}
	v.advanceClock(driverMs)
	if v.status == StatusLeft {
		v.wakeAt = v.now + leftStepIntervalMs
		return v.actions
	}
	for _, event := range events {
		switch event := event.(type) {
		case Received:
			v.receive(event.From, &event.Message)
		case Leave:
			v.leave()
			v.wakeAt = v.now + leftStepIntervalMs
			return v.actions
		case SetPayload:
			v.setPayload(event.Payload)
		}
	}
	v.tick()
	return v.actions
}

func (v *View) setPayload(payload []byte) {
	if len(payload) > MaxPayload || bytes.Equal(payload, v.self.Payload) {
		return
	}
	v.self.Payload = bytes.Clone(payload)
	v.self.PayloadVersion++
	v.advanceIncarnation(v.self.Incarnation)
}

// tick does what is due.
func (v *View) tick() {
	v.updateStatus()
	v.sendJoins()
	v.runProbes()
	v.resolveSuspicions()
	v.startProbes()
	v.sendGossip()
	v.reapMembers()
	v.setWake()
}

// Wake is the driver's time at which Step has to be called if nothing happens before.
func (v *View) Wake() float64 { return v.driverMs + v.wakeAt - v.now }

// Members is all known members by name, this one included.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// State is the state of a member by name; 0 for one that is not known.
func (v *View) State(name string) State {
	if m := v.members[IDOf(name)]; m != nil {
		return m.State
	}
	return 0
}

// hasLiveMemberAt reports whether a live member is known at an address.
func (v *View) hasLiveMemberAt(addr netip.AddrPort) bool {
	for _, m := range v.live {
		if m.Addr == addr && m.State != Unreachable {
			return true
		}
	}
	return addr == v.cfg.Addr
}
