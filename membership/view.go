package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
)

// View is one gateway's view of the fleet. The types of its embedded fields are declared beside the rules that use them.
type View struct {
	cfg     Config
	rng     *rand.Rand
	id      ID
	self    *member
	actions []Action // returned by the current step

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

// New returns a View that contains only this member. Its errors are of type *ConfigError.
func New(cfg Config, seed uint64) (*View, error) {
	if err := cfg.validate(); err != nil {
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

// maxRetainedActions is the largest capacity of the actions slice that is kept for reuse by the next step.
const maxRetainedActions = 64

// Step handles the events since the last call and returns the actions that the driver must carry out. They are valid
// until the next call. driverMs is the time of the driver's clock. Step must be called at the time of Wake at the latest.
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

// tick runs everything that is due at the current time.
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

// Wake returns the time, on the driver's clock, at which Step must be called if no event occurs earlier.
func (v *View) Wake() float64 { return v.driverMs + v.wakeAt - v.now }

// Members returns all known members, this one included, sorted by name.
func (v *View) Members() []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// State returns the state of the member with a name, or 0 if the member is unknown.
func (v *View) State(name string) State {
	if m := v.members[IDOf(name)]; m != nil {
		return m.State
	}
	return 0
}

// hasReachableMemberAt reports whether an address is that of this member or of a live member that is not Unreachable.
func (v *View) hasReachableMemberAt(addr netip.AddrPort) bool {
	for _, m := range v.live {
		if m.Addr == addr && m.State != Unreachable {
			return true
		}
	}
	return addr == v.cfg.Addr
}
