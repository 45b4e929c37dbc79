package membership

import (
	"bytes"
	"math"
	"net/netip"
	"slices"
)

// Sizes in bytes that Send keeps to: upper bounds for the encoding in internal/transport, whose tests hold them against it.
const (
	DatagramOverhead = 170 // all but rumors, records and digests
	rumorSize        = 34
	idSize           = 9
	recordSize       = 92
	allNews          = MaxDatagramBytes - DatagramOverhead
	smallNews        = 330 // beside a Ping or an Ack
	fan              = 3
	mostPieces       = 3 // datagrams for one receiver in a round of gossip
	spread           = 4.0
	mostPages        = 8
	syncMs           = 600.0
	syncFreshMs      = 200.0
	calmMs           = 300.0
	freshMs          = 5000.0
)

// news is what is still to be passed on about a member. What is said is looked up when it is sent.
type news struct {
	m    *member
	full bool // a whole record
	sent int
}

// tell passes on the present state of a member; it goes before older news.
func (v *View) tell(m *member, full bool) {
	if old := v.queued[m.id]; old != nil {
		full = full || old.full
		v.queue = slices.DeleteFunc(v.queue, func(n *news) bool { return n == old })
	}
	n := &news{m: m, full: full}
	v.queued[m.id] = n
	v.queue = slices.Insert(v.queue, 0, n)
}

func (v *View) rumor(m *member) Rumor {
	r := Rumor{Subject: m.id, BootTag: uint32(m.BootID), Incarnation: m.Incarnation, State: m.State}
	if m.doubt == nil {
		r.State = told(m.State)
		return r
	}
	r.Accusers = slices.Clone(m.doubt.by[:min(len(m.doubt.by), v.cfg.DeathQuorum+1)])
	return r
}

// Size is an upper bound of what a record takes in a datagram, bytes.
func (r *Record) Size() int { return recordSize + len(r.Name) + len(r.Zone) + len(r.Payload) }

// Size is an upper bound of what a rumor takes in a datagram, bytes.
func (r *Rumor) Size() int { return rumorSize + idSize*len(r.Accusers) }

// pack puts news into a message, as much as room allows; the newest and those told to the fewest go first.
func (v *View) pack(m *Message, room int) {
	for i := range m.Rumors {
		room -= m.Rumors[i].Size()
	}
	for i := range m.Records {
		room -= m.Records[i].Size()
	}
	if room < rumorSize || len(v.queue) == 0 {
		return
	}
	limit := int(math.Ceil(spread * math.Log10(float64(len(v.live)+2))))
	var again []*news
	taken := 0
	for _, n := range v.queue {
		if n.full {
			r := v.record(n.m)
			if room -= r.Size(); room < 0 {
				break
			}
			m.Records = append(m.Records, r)
		}
		if !n.full || n.m.State == Suspect || !living(n.m.State) {
			r := v.rumor(n.m)
			if room -= r.Size(); room < 0 {
				if n.full {
					m.Records = m.Records[:len(m.Records)-1]
				}
				break
			}
			m.Rumors = append(m.Rumors, r)
		}
		taken++
		if n.sent++; n.sent < limit {
			again = append(again, n)
		} else {
			delete(v.queued, n.m.id)
		}
	}
	if taken > 0 {
		v.queue = append(slices.Delete(v.queue, 0, taken), again...)
	}
}

// send sends a message with news beside it. A receiver of an older version gets what it understands.
func (v *View) send(to netip.AddrPort, m *member, msg *Message, room int) {
	msg.Version = v.cfg.Version
	if m != nil {
		msg.Version = min(msg.Version, m.Version)
	}
	msg.From, msg.BootID, msg.Incarnation, msg.Digest = v.id, v.cfg.BootID, v.self.Incarnation, v.digest
	if room > 0 {
		v.pack(msg, room)
	}
	if msg.Version < 2 {
		for i := range msg.Records {
			msg.Records[i].Payload, msg.Records[i].PayloadVersion = nil, 0
		}
		for i := range msg.Rumors {
			if by := msg.Rumors[i].Accusers; len(by) > 1 {
				msg.Rumors[i].Accusers = []ID{by[v.rng.IntN(len(by))]} // all of them, by and by
			}
		}
	}
	v.out = append(v.out, Send{to, *msg})
}

// gossip passes news on to a few members at random, round by round while there is any.
func (v *View) gossip() {
	if len(v.queue) == 0 || v.now < v.gossipAt || !v.joined {
		return
	}
	v.gossipAt = v.now + v.cfg.GossipIntervalMs
	if v.alarm() {
		v.gossipAt = v.now + v.cfg.GossipIntervalMs/2
	}
	var chosen []*member
	for range fan {
		// A suspect hears what concerns it from those who probe it; in a mass crash most suspects hear nothing.
		m := v.someone(func(m *member) bool { return m.State == Suspect || slices.Contains(chosen, m) })
		if m == nil {
			continue
		}
		chosen = append(chosen, m)
		for range mostPieces {
			if len(v.queue) == 0 {
				return
			}
			before := len(v.queue)
			msg := &Message{Kind: Gossip}
			v.send(m.Addr, m, msg, allNews)
			if len(msg.Rumors)+len(msg.Records) >= before {
				break
			}
		}
	}
}

// receive takes in a message.
func (v *View) receive(from netip.AddrPort, m *Message) {
	if m.From == v.id && m.BootID == v.cfg.BootID {
		return // its own, sent back
	}
	v.heardAt = v.now
	if v.standing == StatusIsolated {
		v.lookAgain()
	}
	switch m.Kind {
	case Join:
		v.onJoin(from, m)
		return
	case JoinAccepted:
		v.onWelcome(from, m)
		return
	case JoinRejected:
		v.onRefused(m)
		return
	}
	if !v.joined {
		if m.Kind != Ping || m.Target != v.id || v.standing == StatusNameTaken {
			return
		}
		v.letIn() // somebody knows it at this address: the welcome was lost
	}
	if m.From == v.id {
		v.namesake(from, m)
		return
	}
	s := v.members[m.From]
	if s == nil || s.BootID != m.BootID {
		v.stranger(from, s, m)
		return
	}
	if m.Incarnation > s.Incarnation {
		v.revive(s, m.Incarnation, "it contradicts")
	}
	believed := living(s.State)
	for i := range m.Rumors {
		v.hear(&m.Rumors[i], believed)
	}
	for i := range m.Records {
		v.learn(&m.Records[i], m.Kind != SyncResponse && m.Kind != SyncRequest)
	}
	switch m.Kind {
	case Ping:
		v.onPing(from, s, m)
	case Ack:
		v.onAck(s, m)
	case PingRequest:
		v.onAsk(from, s, m)
	case Nack:
		if p := v.find(m.Seq); p != nil && p.target.id == m.Target && believed && !slices.Contains(p.by, s.id) && len(p.by) < mostObservers-1 {
			p.by = append(p.by, s.id)
		}
	case SyncRequest:
		v.onCompare(from, s, m)
	}
	if m.Kind == Ping || m.Kind == Ack && m.Target == 0 {
		v.compare(from, s, m.Digest)
	}
}

func (v *View) find(seq uint32) *probe {
	for _, p := range v.probes {
		if p.seq == seq {
			return p
		}
	}
	return nil
}

func (v *View) onPing(from netip.AddrPort, s *member, m *Message) {
	if m.Target != v.id {
		return // for whoever had this address before
	}
	ack := &Message{Kind: Ack, Seq: m.Seq, Attempt: m.Attempt}
	if s != nil && (s.State == Suspect || !living(s.State)) {
		ack.Rumors = append(ack.Rumors, v.rumor(s))
	}
	v.send(from, s, ack, smallNews)
}

func (v *View) onAck(s *member, m *Message) {
	p := v.find(m.Seq)
	switch {
	case p == nil:
		e := &v.recent[m.Seq%uint32(len(v.recent))]
		if e.seq != m.Seq || e.m != s || m.Target != 0 {
			return
		}
		v.measure(e.start, e.unit, m.Attempt, false)
		v.heardFrom()
		s.weak = 0
		if s.State == Unreachable {
			v.set(s, Alive, s.Incarnation, "answers again, late")
		}
	case p.target == s && m.Target == 0:
		v.measure(p.start, p.unit, m.Attempt, p.purpose == regular)
		v.heardFrom()
		v.answered(p)
	case m.Target == p.target.id:
		v.answered(p)
	}
}

// heardFrom notes a direct answer. After a time without any, what failed meanwhile says nothing about the others.
func (v *View) heardFrom() {
	if v.now-v.ackedAt > hearMs {
		v.backAt = v.now
		v.health = min(v.health, backHealth)
	}
	v.ackedAt = v.now
}

func (v *View) onAsk(from netip.AddrPort, s *member, m *Message) {
	t := v.members[m.Target]
	if m.Target == v.id {
		v.send(from, s, &Message{Kind: Ack, Seq: m.Seq, Target: v.id}, 0)
		return
	}
	if t == nil || t.Addr != m.Addr || v.running(helping) >= mostAsked {
		return
	}
	trying := t.trying
	v.probe(&probe{purpose: helping, target: t, replyTo: from, asker: s, theirs: m.Seq})
	t.trying = trying
}

// revive takes in that a member lives under a newer incarnation.
func (v *View) revive(m *member, incarnation uint64, cause string) {
	s := Alive
	if m.State == Unreachable { // others reach it; this one has yet to
		s = Unreachable
		v.look(m, nil)
	}
	v.set(m, s, incarnation, cause)
	v.tell(m, false)
}

// hear takes in a rumor. Accusations and deaths count only from senders that are alive here: others may be the ones who
// are cut off.
func (v *View) hear(r *Rumor, believed bool) {
	if r.Subject == v.id {
		v.aboutMe(r)
		return
	}
	m := v.members[r.Subject]
	if m == nil || r.BootTag != uint32(m.BootID) || r.Incarnation < m.Incarnation || r.Incarnation == m.Incarnation && !living(m.State) {
		return
	}
	switch r.State {
	case Alive:
		if r.Incarnation > m.Incarnation {
			v.revive(m, r.Incarnation, "contradicts")
		}
	case Suspect:
		if !believed {
			return
		}
		if r.Incarnation > m.Incarnation {
			v.set(m, Alive, r.Incarnation, "a newer accusation")
		}
		v.doubt(m, r.Accusers, "accused by others")
	case Dead:
		if believed {
			v.set(m, Dead, r.Incarnation, "others found it dead")
			v.tell(m, false)
		}
	case Left:
		v.set(m, Left, r.Incarnation, "said goodbye")
		v.tell(m, false)
	}
}

// aboutMe contradicts whatever is said of this member.
func (v *View) aboutMe(r *Rumor) {
	switch {
	case r.State == Alive && r.Incarnation <= v.self.Incarnation:
	case r.Incarnation >= v.self.Incarnation:
		if r.State != Alive {
			v.stats.refuted++
			v.worse()
		}
		v.bump(r.Incarnation)
	case r.State == Dead && v.now-v.bumpedAt > 1.5*hearMs:
		v.toldAt = append(v.toldAt, v.now)
	}
}

// bump takes the next incarnation after one.
func (v *View) bump(after uint64) {
	v.toggle(v.self)
	v.self.Incarnation = max(after, v.self.Incarnation) + 1
	v.toggle(v.self)
	v.bumpedAt = v.now
	v.tell(v.self, true)
}

// learn takes in a record. A death told this way may be old: it is looked into.
func (v *View) learn(r *Record, pass bool) {
	id := IDOf(r.Name)
	if id == v.id {
		v.recordOfMe(r)
		return
	}
	m := v.members[id]
	if m != nil && r.BootID == m.BootID && r.PayloadVersion > m.PayloadVersion {
		m.Payload, m.PayloadVersion = bytes.Clone(r.Payload), r.PayloadVersion
		if pass {
			v.tell(m, true)
		}
	}
	switch {
	case m == nil:
		if r.State == Alive && r.Name != "" && r.Addr.IsValid() {
			m = v.add(r, "told by others")
			if pass {
				v.tell(m, true)
			}
		}
	case r.State == Alive && r.Incarnation > m.Incarnation:
		v.fill(m, r)
		v.set(m, Alive, r.Incarnation, "told by others")
		if pass {
			v.tell(m, true)
		}
	case r.State == Dead && m.State == Suspect && r.Incarnation == m.Incarnation && r.BootID == m.BootID:
		v.set(m, Dead, r.Incarnation, "others found it dead")
	case r.State == Dead && living(m.State) && r.Incarnation >= m.Incarnation:
		v.look(m, &Rumor{Subject: id, BootTag: uint32(r.BootID), Incarnation: r.Incarnation, State: Dead})
	case r.State == Left && m.State != Left && r.Incarnation >= m.Incarnation:
		v.set(m, Left, r.Incarnation, "said goodbye")
	}
}

// compare asks for what differs when a peer's digest does, once news has come to rest.
func (v *View) compare(from netip.AddrPort, s *member, digest uint64) {
	wait := syncMs
	if v.now-v.joinedAt < freshMs {
		wait = syncFreshMs
	}
	calm := len(v.queue) == 0 && v.now-v.newsAt > calmMs || v.now-v.joinedAt < freshMs || v.now-v.syncAt > 2*syncMs
	if digest == v.digest || !calm || v.now < v.syncAt+wait {
		return
	}
	v.sync(from, s)
}

func (v *View) sync(to netip.AddrPort, s *member) {
	v.syncAt = v.now
	v.stats.synced++
	v.send(to, s, v.comparison(), 0)
}

// comparison introduces this member and asks for what is known elsewhere.
func (v *View) comparison() *Message {
	return &Message{Kind: SyncRequest, Buckets: slices.Clone(v.parts[:]), Records: []Record{v.record(v.self)}}
}

// onCompare answers with the records of the parts that differ, a bounded number at a time.
func (v *View) onCompare(from netip.AddrPort, s *member, m *Message) {
	if len(m.Buckets) != buckets {
		return
	}
	first := v.rng.IntN(buckets)
	page, pages, room := &Message{Kind: SyncResponse}, 0, allNews
	flush := func() {
		if len(page.Records) > 0 {
			v.send(from, s, page, 0)
			pages++
			page, room = &Message{Kind: SyncResponse}, allNews
		}
	}
	var differ [buckets][]*member
	sort := func(m2 *member) {
		if b := m2.id % buckets; m.Buckets[b] != v.parts[b] {
			differ[b] = append(differ[b], m2)
		}
	}
	sort(v.self)
	for _, l := range [][]*member{v.live, v.lost, v.left} {
		for _, m := range l {
			sort(m)
		}
	}
	for i := range buckets {
		for _, m := range differ[(first+i)%buckets] {
			r := v.record(m)
			if r.Size() > room {
				if flush(); pages >= mostPages {
					return
				}
			}
			room -= r.Size()
			page.Records = append(page.Records, r)
		}
	}
	flush()
}
