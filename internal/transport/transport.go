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

// Config configures this gateway's membership in a fleet.
type Config struct {
	Name       string           // name of the gateway
	FleetName  string           // name of the fleet; datagrams of other fleets are dropped
	Listen     string           // address on which datagrams are received
	Advertise  netip.AddrPort   // address to which other members send; if invalid, the address of the socket
	Zone       string           // zone of the gateway
	Version    uint8            // version of sent messages during an upgrade from an older version; 0: the newest
	Seeds      []netip.AddrPort // addresses of members to join through
	Keys       [][]byte         // keys of the Sealer; see SetKeys
	Networks   *netipx.IPSet    // networks from which datagrams are accepted; nil: from any
	RandomSeed uint64           // seed of the view's random numbers
}

// Transport runs a membership.View on an event loop. It passes received messages to the View and sends the messages that
// the View returns.
type Transport struct {
	loop            *eventloop.Loop
	log             *zap.Logger
	socket          *eventloop.PacketConn
	allowedNetworks *netipx.IPSet // nil: all addresses are allowed
	sealer          *Sealer
	replays         ReplayFilter
	view            *membership.View
	events          []membership.Event // events since the last step of the view
	wakeTimer       *eventloop.Timer   // wakes the event loop when the view's next step is due
	changeCount     int                // number of changes of members' states
	partial         bool               // the view sees only a part of the fleet
	payload         Payload            // last announced payload
	metricSet       *metrics.Set
	counters        counters
	lastDropLogMs   float64
	suppressedDrops map[string]int // datagrams dropped without a log message since lastDropLogMs, by reason
}

// New opens the socket and creates the View, which the first call of Step starts. Its errors name the configuration key
// that is wrong.
func New(loop *eventloop.Loop, log *zap.Logger, config Config) (*Transport, error) {
	sealer, err := NewSealer(config.FleetName, config.Keys)
	if err != nil {
		return nil, fmt.Errorf("fleet.keys: %w", err)
	}
	t := &Transport{
		loop:            loop,
		log:             log,
		allowedNetworks: config.Networks,
		sealer:          sealer,
		metricSet:       metrics.NewSet(),
		lastDropLogMs:   -dropLogIntervalMs,
		suppressedDrops: map[string]int{},
	}
	if t.socket, err = loop.ListenPacket(config.Listen, t.receive); err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	if t.view, err = newView(config, t.socket.Addr()); err != nil {
		t.socket.Close()
		return nil, err
	}
	t.registerMetrics()
	return t, nil
}

// newView creates the View. listenAddr is the address of the socket.
func newView(config Config, listenAddr netip.AddrPort) (*membership.View, error) {
	addr := config.Advertise
	if !addr.IsValid() {
		addr = listenAddr
	}
	if addr.Addr().IsUnspecified() {
		return nil, errors.New("fleet.advertise: an unspecified address (0.0.0.0 or ::) can't be reached by other members")
	}
	view, err := membership.New(membership.Config{
		Name:    config.Name,
		Addr:    addr,
		Zone:    config.Zone,
		Version: config.Version,
		BootID:  newBootID(),
		Seeds:   config.Seeds,
	}, config.RandomSeed)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	return view, nil
}

// newBootID returns a random ID for this process that is never 0.
func newBootID() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails
	return binary.BigEndian.Uint64(random[:]) | 1
}

// Metrics returns the metrics that are served on the management address.
func (t *Transport) Metrics() *metrics.Set { return t.metricSet }

// Addr returns the address on which datagrams are received.
func (t *Transport) Addr() netip.AddrPort { return t.socket.Addr() }

// SetKeys replaces the keys of the Sealer. On an error, which names the configuration key, the old keys stay in use.
func (t *Transport) SetKeys(keys [][]byte) error {
	if err := t.sealer.SetKeys(keys); err != nil {
		return fmt.Errorf("fleet.keys: %w", err)
	}
	return nil
}

// Members returns all members that the view knows, and a summary of the view.
func (t *Transport) Members() ([]membership.Member, membership.Summary) {
	return t.view.Members(), t.view.Summary()
}

// ChangeCount returns how many changes of members' states the view has reported.
func (t *Transport) ChangeCount() int { return t.changeCount }

// Announce publishes a payload to the other members. It does nothing if the payload is the same as before.
func (t *Transport) Announce(payload Payload) {
	if payload == t.payload {
		return
	}
	t.payload = payload
	t.events = append(t.events, membership.SetPayload{Payload: payload.Bytes()})
}

// Leave announces to the other members that this gateway leaves the fleet.
func (t *Transport) Leave() {
	t.events = append(t.events, membership.Leave{})
	t.Step()
}

// Close stops the timer and closes the socket.
func (t *Transport) Close() {
	t.wakeTimer.Stop()
	t.socket.Close()
}

// receive checks a datagram and keeps its message as an event for the next Step.
func (t *Transport) receive(from netip.AddrPort, data []byte) {
	t.counters.received.Inc()
	t.counters.bytesReceived.Add(len(data))
	if t.allowedNetworks != nil && !t.allowedNetworks.Contains(from.Addr()) {
		t.drop(from, ErrDisallowedNetwork)
		return
	}
	message, counter, err := t.sealer.Open(data)
	if err == nil && !t.replays.Accept(message.From, message.BootID, counter) {
		err = ErrReplay
	}
	if err != nil {
		t.drop(from, err)
		return
	}
	t.events = append(t.events, membership.Received{From: from, Message: message})
}

// Step steps the view if there are events or a step is due, and executes the actions that the view returns. It is called
// once in each round of the event loop.
func (t *Transport) Step() {
	now := t.loop.Clock.Now()
	if len(t.events) == 0 && t.wakeTimer != nil && now < t.view.Wake() {
		return
	}
	t.counters.steps.Inc()
	for _, action := range t.view.Step(now, t.events) {
		switch action := action.(type) {
		case membership.Send:
			t.send(&action)
		case membership.MemberChanged:
			t.memberChanged(&action)
		case membership.StatusChanged:
			t.statusChanged(&action)
		}
	}
	t.events = t.events[:0]
	t.checkPartial()
	t.wakeTimer.Stop()
	t.wakeTimer = t.loop.WakeAt(t.view.Wake())
}

// send sends a message. If the message can't be sent it is dropped, because the membership protocol tolerates loss.
func (t *Transport) send(action *membership.Send) {
	data, err := t.sealer.Seal(&action.Message)
	if err != nil {
		t.log.Error("fleet: cannot seal message", zap.Error(err))
		return
	}
	if !t.socket.SendTo(action.To, data) {
		t.counters.unsent.Inc()
		return
	}
	t.counters.sent.Inc()
	t.counters.bytesSent.Add(len(data))
}

// memberChanged counts and logs that a member's state changed or that the view forgot the member.
func (t *Transport) memberChanged(action *membership.MemberChanged) {
	t.changeCount++
	member := &action.Member
	if action.New == 0 {
		t.replays.Forget(membership.IDOf(member.Name), member.BootID)
	} else {
		t.counters.memberChanges[action.New].Inc()
	}
	t.log.Info("fleet: member state changed",
		zap.String("member", member.Name),
		zap.String("state", stateName(action.New)),
		zap.String("previous_state", stateName(action.Old)),
		zap.String("reason", action.Cause),
		zap.Stringer("address", member.Addr),
		zap.String("zone", member.Zone),
		zap.Uint64("incarnation", member.Incarnation))
}

// stateName returns the name of a member's state. State 0 stands for a member that the view doesn't know.
func stateName(state membership.State) string {
	if state == 0 {
		return "unknown"
	}
	return state.String()
}

// statusChanged logs that this gateway's own status in the fleet changed.
func (t *Transport) statusChanged(action *membership.StatusChanged) {
	t.log.Info("fleet: status changed", zap.Stringer("status", action.Status), zap.String("reason", action.Cause))
}

// checkPartial logs when the view starts or stops seeing only a part of the fleet.
func (t *Transport) checkPartial() {
	summary := t.view.Summary()
	if summary.Partial == t.partial {
		return
	}
	t.partial = summary.Partial
	t.log.Warn("fleet: partial view changed",
		zap.Bool("partial", summary.Partial),
		zap.Int("alive", summary.Alive),
		zap.Int("dead", summary.Dead),
		zap.Int("unreachable", summary.Unreachable))
}
