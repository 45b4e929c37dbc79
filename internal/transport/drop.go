package transport

import (
	"errors"
	"fmt"
	"net/netip"

	"go.uber.org/zap"
)

// Errors that say why a datagram is dropped. The errors of Decode, such as ErrUnsupportedVersion, are further ones.
var (
	// ErrMalformed is the error for a datagram that is truncated, too large or of another format.
	ErrMalformed = errors.New("datagram is truncated, too large or of another format")
	// ErrOtherFleet is the error for a datagram of another fleet.
	ErrOtherFleet = errors.New("datagram belongs to another fleet")
	// ErrUnknownKey is the error for a datagram that is sealed under a key that is not configured.
	ErrUnknownKey = errors.New("datagram is sealed under an unknown key")
	// ErrBadMAC is the error for a datagram whose message authentication code is wrong.
	ErrBadMAC = errors.New("message authentication code is wrong")
	// ErrReplay is the error for a datagram that has arrived before, or whose counter is too old to tell.
	ErrReplay = errors.New("datagram is a replay or its counter is too old")
	// ErrDisallowedNetwork is the error for a datagram from an address outside Config.Networks.
	ErrDisallowedNetwork = errors.New("source address is outside the allowed networks")
)

// dropLogIntervalMs is the minimum time between two log messages about dropped datagrams. All of them are counted.
const dropLogIntervalMs = 1000.0

const reasonMalformed = "malformed"

// dropReasons maps errors to values of the label "reason" of the counter datagrams_dropped_total.
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

// dropReason returns the label value for an error. Errors without an entry in dropReasons come from Decode and count as
// malformed.
func dropReason(err error) string {
	for _, known := range dropReasons {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return reasonMalformed
}

// drop counts a dropped datagram, and logs it unless one was logged less than dropLogIntervalMs ago.
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
