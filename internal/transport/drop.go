package transport

import (
	"errors"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
)

// Errors that say why a datagram is dropped, besides ErrUnsupportedVersion and the other errors of Decode.
var (
	// ErrMalformed is returned for a datagram that is truncated, too large or not of this format.
	ErrMalformed = errors.New("truncated, too large or no datagram of this kind")
	// ErrOtherFleet is returned for a datagram of another fleet.
	ErrOtherFleet = errors.New("of another fleet")
	// ErrUnknownKey is returned for a datagram under a key that is not configured here.
	ErrUnknownKey = errors.New("under an unknown key")
	// ErrBadMAC is returned for a datagram whose message authentication code is wrong.
	ErrBadMAC = errors.New("its MAC is wrong")
	// ErrReplay is the reason for a datagram that has arrived before, or whose counter is too old to know.
	ErrReplay = errors.New("a replay")
	// ErrDisallowedNetwork is the reason for a datagram from outside Config.Networks.
	ErrDisallowedNetwork = errors.New("from outside the allowed networks")
)

// dropLogIntervalMs is the least time between two log lines about dropped datagrams. All are counted.
const dropLogIntervalMs = 1000.0

const reasonMalformed = "malformed"

// dropReasons are the values of the label reason of the counter of dropped datagrams.
var dropReasons = []struct {
	err    error
	reason string
}{
	{ErrMalformed, reasonMalformed},
	{ErrOtherFleet, "fleet"},
	{ErrUnknownKey, "key"},
	{ErrBadMAC, "mac"},
	{ErrReplay, "replay"},
	{ErrDisallowedNetwork, "network"},
	{ErrUnsupportedVersion, "version"},
}

// dropReason returns the reason for an error; any other error of Decode means malformed.
func dropReason(err error) string {
	for _, known := range dropReasons {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return reasonMalformed
}

// drop counts a datagram that is not accepted, and logs it if none was logged lately.
func (t *Transport) drop(from netip.AddrPort, err error) {
	reason := dropReason(err)
	name := fmt.Sprintf(metricPrefix+`datagrams_dropped_total{reason=%q}`, reason)
	t.metricSet.GetOrCreateCounter(name).Inc()
	now := t.loop.Clock.Now()
	if now < t.lastDropLogMs+dropLogIntervalMs {
		t.suppressedDrops[reason]++
		return
	}
	t.lastDropLogMs = now
	t.log.Warn("fleet: datagram dropped",
		zap.Stringer("source", from),
		zap.String("reason", reason),
		zap.Error(err),
		zap.Any("suppressed", t.suppressedDrops))
	clear(t.suppressedDrops)
}
