package membership

import (
	"bytes"
	"slices"
)

// member is a Member with what the View keeps about it.
type member struct {
	Member
	id                ID
	suspicion         *suspicion // while Suspect, else nil
	listIndex         int        // in View.live, View.dead or View.left, by state
	stateChangedAt    float64    // on the View's clock
	unconfirmedProbes uint8      // probes in a row that failed without a confirmation by others
	probeInFlight     bool       // a probe by this member
	inProbeRound      bool       // in View.probeRound
}

// memberTable holds all members that are known.
type memberTable struct {
	members  map[ID]*member    // this member included
	live     []*member         // Alive, Suspect and Unreachable without this member, in no order
	dead     []*member         // in no order
	left     []*member         // in no order
	suspects []*member         // in the order in which they were accused
	counts   [Left + 1]int     // by state, without this member
	zones    map[string]string // interned
	reapAt   float64
}

// rumor is a rumor about the member in a state.
func (m *member) rumor(state State) Rumor {
	return Rumor{Subject: m.id, BootTag: uint32(m.BootID), Incarnation: m.Incarnation, State: state}
}

// record is the member's record as other members are sent it.
func (m *member) record() Record {
	return Record{
		Name: m.Name, Addr: m.Addr, Zone: m.Zone, Version: m.Version, BootID: m.BootID, Incarnation: m.Incarnation,
		State: m.State.advertised(), Payload: m.Payload, PayloadVersion: m.PayloadVersion,
	}
}

// listOf is the list of members in a state.
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

// addMember adds a member that was not known.
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

// setState gives a member a state and an incarnation, and reports a change of state.
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

// changeState moves a member to another state and reports it. The digests are the caller's task.
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
		v.failuresAt = append(v.failuresAt, v.now)
	}
	v.actions = append(v.actions, MemberChanged{Member: m.Member, Old: old, New: state, Cause: cause})
}

// updateFromRecord copies everything but state and incarnation from a record.
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

// reapIntervalMs is the time between two checks for members to forget.
const reapIntervalMs = 1000.0

// reapMembers forgets members that left or died long ago.
func (v *View) reapMembers() {
	if v.now < v.reapAt {
		return
	}
	v.reapAt = v.now + reapIntervalMs
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
		v.removeFromList(m) // which puts another member at i
		delete(v.members, m.id)
		v.actions = append(v.actions, MemberChanged{Member: m.Member, Old: m.State, Cause: causeForgotten})
	}
}

// randomMemberDraws is how often randomMember draws before it gives up. It bounds the work if most members are excluded
// or unreachable.
const randomMemberDraws = 8

// randomMember is a random live member that is not unreachable and not excluded, or nil if the draws find none.
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

// maxInternedZones bounds the memory that zones of other members can take.
const maxInternedZones = 256

// internZone keeps one copy of each zone's name.
func (v *View) internZone(zone string) string {
	if interned, ok := v.zones[zone]; ok {
		return interned
	}
	if len(v.zones) < maxInternedZones {
		v.zones[zone] = zone
	}
	return zone
}
