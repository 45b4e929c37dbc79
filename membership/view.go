package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// View is what one gateway believes of the fleet. The parts of its state are declared beside the rules that use them.
type View struct {
	cfg     Config
	rng     *rand.Rand
	id      ID
	self    *member
	actions []Action // of the current step

	clock
	memberTable
	digests
	syncState
	gossipState
	probeState
	selfAssessment
	joinState
	counters counters
}

// New returns a View that knows only itself. The error is a *ConfigError.
func New(cfg Config, seed uint64) (*View, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	v := &View{cfg: cfg, rng: rand.New(rand.NewPCG(seed, cfg.BootID)), id: IDOf(cfg.Name)}
	v.members, v.zones, v.rumors = map[ID]*member{}, map[string]string{}, newRumorQueue()
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
	if len(payload) > MaxPayloadBytes || bytes.Equal(payload, v.self.Payload) {
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
