package membership

import (
	"bytes"
	"slices"
)

// member is a Member with the View's internal state for it.
type member struct {
	Member
	id                ID
	suspicion         *suspicion // nil unless the member is Suspect
	listIndex         int        // index in the list of its state, see listOf
	stateChangedAt    float64    // time of the last state change, on the View's clock
	unconfirmedProbes uint8      // consecutive probes that failed without a Nack from another member
	probeInFlight     bool       // a probe of the member is unanswered, not counting indirect probes
	inProbeRound      bool       // the member is in View.probeRound
}

// memberTable holds all known members.
type memberTable struct {
	members    map[ID]*member    // includes this member
	live       []*member         // Alive, Suspect and Unreachable members without this one, unordered
	dead       []*member         // unordered
	left       []*member         // unordered
	suspects   []*member         // in the order of their first accusation
	counts     [Left + 1]int     // members in each state, without this one
	zones      map[string]string // interned names of zones
	nextReapAt float64
}

// rumor returns a rumor that the member is in a state, without accusers.
func (m *member) rumor(state State) Rumor {
	return Rumor{Subject: m.id, BootTag: uint32(m.BootID), Incarnation: m.Incarnation, State: state}
}

// record returns the member's record in the form that is sent to other members.
func (m *member) record() Record {
	return Record{
		Name: m.Name, Addr: m.Addr, Zone: m.Zone, Version: m.Version, BootID: m.BootID, Incarnation: m.Incarnation,
		State: m.State.advertised(), Payload: m.Payload, PayloadVersion: m.PayloadVersion,
	}
}

// listOf returns the list that holds the members in a state.
func (v *View) listOf(state State) *[]*member {
	switch state {
	case Dead:
		return &v.dead
	case Left:
		return &v.left
	}
	return &v.live
}

// removeFromList removes a member from the list of its state.
func (v *View) removeFromList(m *member) {
	list := v.listOf(m.State)
	end := len(*list) - 1
	last := (*list)[end]
	(*list)[m.listIndex], last.listIndex = last, m.listIndex
	(*list)[end] = nil
	*list = (*list)[:end]
	v.counts[m.State]--
}

// addToList adds a member to the list of its state.
func (v *View) addToList(m *member) {
	list := v.listOf(m.State)
	m.listIndex = len(*list)
	*list = append(*list, m)
	v.counts[m.State]++
}

// addMember adds an unknown member as Alive.
func (v *View) addMember(record *Record, cause string) *member {
	m := &member{id: IDOf(record.Name), Member: Member{
		Name: record.Name, Addr: record.Addr, Zone: v.internZone(record.Zone), Version: record.Version, BootID: record.BootID,
		Incarnation: record.Incarnation, State: Alive, Since: v.driverMs,
		Payload: bytes.Clone(record.Payload), PayloadVersion: record.PayloadVersion,
	}}
	v.members[m.id] = m
	v.addToList(m)
	v.toggleDigest(m)
	v.addToProbeRound(m)
	v.actions = append(v.actions, MemberChanged{Member: m.Member, New: Alive, Cause: cause})
	return m
}

// setState sets a member's state and incarnation, updates the digests, and reports a change of state.
func (v *View) setState(m *member, state State, incarnation uint64, cause string) {
	old := m.State
	if old.isLive() {
		v.toggleDigest(m)
	}
	m.Incarnation = incarnation
	if old != state {
		v.changeState(m, state, cause)
	}
	if state.isLive() {
		v.toggleDigest(m)
		if !old.isLive() {
			v.addToProbeRound(m)
		}
	}
}

// changeState moves a member to another state and reports it. The caller must update the digests.
func (v *View) changeState(m *member, state State, cause string) {
	old := m.State
	v.removeFromList(m)
	m.State = state
	m.Since = v.driverMs
	m.stateChangedAt = v.now
	v.addToList(m)
	if old == Suspect {
		m.suspicion = nil
		v.suspects = slices.DeleteFunc(v.suspects, func(other *member) bool { return other == m })
	}
	if state == Alive {
		m.unconfirmedProbes = 0
	}
	if state == Dead || state == Suspect {
		v.failureTimes = append(v.failureTimes, v.now)
	}
	v.actions = append(v.actions, MemberChanged{Member: m.Member, Old: old, New: state, Cause: cause})
}

// updateFromRecord copies all fields of a record except state and incarnation to a member.
func (v *View) updateFromRecord(m *member, record *Record) {
	if m.State.isLive() {
		v.toggleDigest(m)
	}
	m.Addr, m.Zone, m.Version, m.BootID = record.Addr, v.internZone(record.Zone), record.Version, record.BootID
	m.Payload, m.PayloadVersion = bytes.Clone(record.Payload), record.PayloadVersion
	if m.State.isLive() {
		v.toggleDigest(m)
	}
}

// reapIntervalMs is the interval at which members whose retention time has passed are removed.
const reapIntervalMs = 1000.0

// reapMembers removes members that died or left more than their retention time ago.
func (v *View) reapMembers() {
	if v.now < v.nextReapAt {
		return
	}
	v.nextReapAt = v.now + reapIntervalMs
	v.reapList(&v.dead, v.cfg.DeadRetentionMs)
	v.reapList(&v.left, v.cfg.LeftRetentionMs)
}

func (v *View) reapList(list *[]*member, retentionMs float64) {
	for i := 0; i < len(*list); {
		m := (*list)[i]
		if v.now-m.stateChangedAt < retentionMs {
			i++
			continue
		}
		v.removeFromList(m) // moves the last member of the list to i
		delete(v.members, m.id)
		v.actions = append(v.actions, MemberChanged{Member: m.Member, Old: m.State, Cause: causeForgotten})
	}
}

// randomMemberDraws is the maximum number of draws in randomMember. It bounds the work if most members are excluded or
// unreachable.
const randomMemberDraws = 8

// randomMember returns a random live member that is neither Unreachable nor excluded, or nil if randomMemberDraws draws
// find none.
func (v *View) randomMember(excluded func(*member) bool) *member {
	for range randomMemberDraws {
		if len(v.live) == 0 {
			return nil
		}
		m := v.live[v.rng.IntN(len(v.live))]
		if m.State != Unreachable && (excluded == nil || !excluded(m)) {
			return m
		}
	}
	return nil
}

// maxInternedZones bounds the memory that zone names received from other members can occupy.
const maxInternedZones = 256

// internZone returns a shared copy of a zone's name, so that members of one zone don't each hold their own.
func (v *View) internZone(zone string) string {
	if interned, ok := v.zones[zone]; ok {
		return interned
	}
	if len(v.zones) < maxInternedZones {
		v.zones[zone] = zone
	}
	return zone
}
