package transport

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go4.org/netipx"

	"merlinjunction/internal/eventloop"
	"merlinjunction/membership"
)

// Config says how this gateway takes part in a fleet.
type Config struct {
	Name      string // of the gateway
	Fleet     string // of the fleet: datagrams of others are dropped
	Listen    string
	Advertise netip.AddrPort // what the others are told; not valid: the address listened on
	Zone      string
	Version   uint8 // of messages, while older gateways are about; 0: the newest
	Seeds     []netip.AddrPort
	Keys      [][]byte
	Networks  *netipx.IPSet // whom datagrams may come from; nil: anybody
	Seed      uint64        // of random choices
}

// logEveryMs is how often a dropped datagram is logged at the most; the others are counted.
const logEveryMs = 1000.0

// Transport drives a membership.View on a loop. It decides nothing.
type Transport struct {
	loop     *eventloop.Loop
	log      *zap.Logger
	socket   *eventloop.Packet
	sealer   *Sealer
	replays  ReplayFilter
	allowed  *netipx.IPSet
	view     *membership.View
	events   []membership.Event
	wake     *eventloop.Timer
	loggedMs float64
	unsaid   map[string]int // dropped and not logged, by reason
	set      *metrics.Set
	counts   counters
	stands   membership.Status
	edition  int // of the view: grows when a member's state changes
	payload  Payload
	part     bool
}

type counters struct {
	in, out, bytesIn, bytesOut, unsent *metrics.Counter
	changes                            map[membership.State]*metrics.Counter
	rounds                             *metrics.Counter
}

// New opens the socket and makes the View; Step starts it. The errors name the key that is wrong.
func New(l *eventloop.Loop, log *zap.Logger, cfg Config) (*Transport, error) {
	sealer, err := NewSealer(cfg.Fleet, cfg.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet.keys: %w", err)
	}
	p := &Transport{loop: l, log: log, sealer: sealer, allowed: cfg.Networks, unsaid: map[string]int{}, set: metrics.NewSet(), loggedMs: -logEveryMs}
	if p.socket, err = l.ListenPacket(cfg.Listen, p.receive); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if !cfg.Advertise.IsValid() {
		cfg.Advertise = p.socket.Addr()
	}
	if cfg.Advertise.Addr().IsUnspecified() {
		p.socket.Close()
		return nil, errors.New("fleet.advertise: the others can't reach an address that stands for all")
	}
	var boot [8]byte
	_, _ = rand.Read(boot[:]) // never fails
	p.view, err = membership.New(membership.Config{
		Name: cfg.Name, Addr: cfg.Advertise, Zone: cfg.Zone, Version: cfg.Version, BootID: binary.BigEndian.Uint64(boot[:]) | 1, Seeds: cfg.Seeds,
	}, cfg.Seed)
	if err != nil {
		p.socket.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	p.count()
	return p, nil
}

func (p *Transport) count() {
	c := &p.counts
	c.in, c.out = p.set.NewCounter("merlinjunction_fleet_datagrams_received_total"), p.set.NewCounter("merlinjunction_fleet_datagrams_sent_total")
	c.bytesIn, c.bytesOut = p.set.NewCounter("merlinjunction_fleet_bytes_received_total"), p.set.NewCounter("merlinjunction_fleet_bytes_sent_total")
	c.unsent, c.rounds = p.set.NewCounter("merlinjunction_fleet_datagrams_unsent_total"), p.set.NewCounter("merlinjunction_fleet_steps_total")
	c.changes = map[membership.State]*metrics.Counter{}
	for s := membership.Alive; s <= membership.Left; s++ {
		c.changes[s] = p.set.NewCounter(fmt.Sprintf(`merlinjunction_fleet_changes_total{to=%q}`, s))
	}
	gauge := func(name string, f func(membership.Summary) float64) {
		p.set.NewGauge("merlinjunction_fleet_"+name, func() float64 { return f(p.view.Summary()) })
	}
	gauge(`members{state="alive"}`, func(s membership.Summary) float64 { return float64(s.Alive) })
	gauge(`members{state="suspect"}`, func(s membership.Summary) float64 { return float64(s.Suspect) })
	gauge(`members{state="unreachable"}`, func(s membership.Summary) float64 { return float64(s.Unreachable) })
	gauge(`members{state="dead"}`, func(s membership.Summary) float64 { return float64(s.Dead) })
	gauge(`members{state="left"}`, func(s membership.Summary) float64 { return float64(s.Left) })
	gauge("health", func(s membership.Summary) float64 { return float64(s.Health) })
	gauge("loss_ratio", func(s membership.Summary) float64 { return s.Loss })
	gauge("round_trip_seconds", func(s membership.Summary) float64 { return s.RoundTripMs / 1000 })
	gauge("news_pending", func(s membership.Summary) float64 { return float64(s.PendingRumors) })
	gauge("part", func(s membership.Summary) float64 {
		if s.Partial {
			return 1
		}
		return 0
	})
}

// Metrics are the figures, for the management address.
func (p *Transport) Metrics() *metrics.Set { return p.set }

// Addr is the address that datagrams come to.
func (p *Transport) Addr() netip.AddrPort { return p.socket.Addr() }

// SetKeys changes the keys in service; on an error the old ones stay.
func (p *Transport) SetKeys(keys [][]byte) error {
	if err := p.sealer.SetKeys(keys); err != nil {
		return fmt.Errorf("fleet.keys: %w", err)
	}
	return nil
}

// Members is everybody known, and the figures of the view.
func (p *Transport) Members() ([]membership.Member, membership.Summary) {
	return p.view.Members(), p.view.Summary()
}

// ChangeCount grows with each change of a member's state.
func (p *Transport) ChangeCount() int { return p.edition }

// Announce tells the others what this gateway says of itself; nothing is sent where it is the same.
func (p *Transport) Announce(what Payload) {
	if what == p.payload {
		return
	}
	p.payload = what
	p.events = append(p.events, membership.SetPayload{Payload: what.Bytes()})
}

// Leave says goodbye.
func (p *Transport) Leave() {
	p.events = append(p.events, membership.Leave{})
	p.Step()
}

// Close gives the socket back.
func (p *Transport) Close() {
	p.wake.Stop()
	p.socket.Close()
}

// receive proves a datagram and keeps its message for the next Step.
func (p *Transport) receive(from netip.AddrPort, data []byte) {
	p.counts.in.Inc()
	p.counts.bytesIn.Add(len(data))
	if p.allowed != nil && !p.allowed.Contains(from.Addr()) {
		p.drop(from, ErrNetwork)
		return
	}
	m, counter, err := p.sealer.Open(data)
	if err == nil && !p.replays.Accept(m.From, m.BootID, counter) {
		err = ErrReplay
	}
	if err != nil {
		p.drop(from, err)
		return
	}
	p.events = append(p.events, membership.Received{From: from, Message: m})
}

// reason is a short word for why a datagram was dropped, for counters.
func reason(err error) string {
	for _, r := range []struct {
		err  error
		word string
	}{{ErrMalformed, "malformed"}, {ErrOtherFleet, "fleet"}, {ErrUnknownKey, "key"}, {ErrBadMAC, "mac"}, {ErrReplay, "replay"}, {ErrNetwork, "network"}, {ErrUnsupportedVersion, "version"}} {
		if errors.Is(err, r.err) {
			return r.word
		}
	}
	return "malformed"
}

// drop counts a datagram that is not taken, and logs one of them a second.
func (p *Transport) drop(from netip.AddrPort, err error) {
	word := reason(err)
	p.set.GetOrCreateCounter(fmt.Sprintf(`merlinjunction_fleet_datagrams_dropped_total{reason=%q}`, word)).Inc()
	if now := p.loop.Clock.Now(); now < p.loggedMs+logEveryMs {
		p.unsaid[word]++
		return
	} else {
		p.loggedMs = now
	}
	p.log.Warn("fleet: a datagram is dropped", zap.Stringer("from", from), zap.Error(err), zap.Any("others since", p.unsaid))
	clear(p.unsaid)
}

// Step steps the view if something came or is due, and carries out what it wants. It is called once in each round.
func (p *Transport) Step() {
	now := p.loop.Clock.Now()
	if len(p.events) == 0 && p.wake != nil && now < p.view.Wake() {
		return
	}
	p.counts.rounds.Inc()
	for _, a := range p.view.Step(now, p.events) {
		switch a := a.(type) {
		case membership.Send:
			p.send(&a)
		case membership.MemberChanged:
			p.changed(&a)
		case membership.StatusChanged:
			p.stands = a.Status
			p.log.Info("fleet: standing", zap.Stringer("standing", a.Status), zap.String("cause", a.Cause))
		}
	}
	p.events = p.events[:0]
	if s := p.view.Summary(); s.Partial != p.part {
		p.part = s.Partial
		p.log.Warn("fleet: only a part is seen", zap.Bool("part", s.Partial), zap.Int("alive", s.Alive), zap.Int("dead", s.Dead),
			zap.Int("unreachable", s.Unreachable))
	}
	p.wake.Stop()
	p.wake = p.loop.At(p.view.Wake(), func() {})
}

func (p *Transport) send(a *membership.Send) {
	data, err := p.sealer.Seal(&a.Message)
	if err != nil {
		p.log.Error("fleet: a message is not sent", zap.Error(err))
		return
	}
	if !p.socket.SendTo(a.To, data) {
		p.counts.unsent.Inc()
		return
	}
	p.counts.out.Inc()
	p.counts.bytesOut.Add(len(data))
}

func (p *Transport) changed(a *membership.MemberChanged) {
	p.edition++
	m := &a.Member
	if a.New == 0 {
		p.replays.Forget(membership.IDOf(m.Name), m.BootID)
	} else {
		p.counts.changes[a.New].Inc()
	}
	was, is := "unknown", "unknown"
	if a.Old != 0 {
		was = a.Old.String()
	}
	if a.New != 0 {
		is = a.New.String()
	}
	p.log.Info("fleet: member", zap.String("member", m.Name), zap.String("state", is), zap.String("was", was), zap.String("cause", a.Cause),
		zap.Stringer("address", m.Addr), zap.String("zone", m.Zone), zap.Uint64("incarnation", m.Incarnation))
}
