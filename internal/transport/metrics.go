package transport

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"merlinjunction/membership"
)

const metricPrefix = "merlinjunction_fleet_"

// counters holds the counters of a Transport, except those of dropped datagrams, which are created on demand for each
// reason.
type counters struct {
	received      *metrics.Counter // received datagrams, including those that are dropped
	bytesReceived *metrics.Counter
	sent          *metrics.Counter
	bytesSent     *metrics.Counter
	unsent        *metrics.Counter // datagrams that the operating system did not accept
	steps         *metrics.Counter // steps of the view
	memberChanges map[membership.State]*metrics.Counter
}

// registerMetrics creates the counters and the gauges.
func (t *Transport) registerMetrics() {
	counter := func(name string) *metrics.Counter { return t.metricSet.NewCounter(metricPrefix + name) }
	t.counters = counters{
		received:      counter("datagrams_received_total"),
		bytesReceived: counter("bytes_received_total"),
		sent:          counter("datagrams_sent_total"),
		bytesSent:     counter("bytes_sent_total"),
		unsent:        counter("datagrams_unsent_total"),
		steps:         counter("steps_total"),
		memberChanges: map[membership.State]*metrics.Counter{},
	}
	for state := membership.Alive; state <= membership.Left; state++ {
		t.counters.memberChanges[state] = counter(fmt.Sprintf(`changes_total{to=%q}`, state))
	}
	t.registerGauges()
}

// registerGauges creates the gauges, which read the view's summary when they are collected.
func (t *Transport) registerGauges() {
	for _, gauge := range []struct {
		name  string
		value func(membership.Summary) float64
	}{
		{`members{state="alive"}`, func(s membership.Summary) float64 { return float64(s.Alive) }},
		{`members{state="suspect"}`, func(s membership.Summary) float64 { return float64(s.Suspect) }},
		{`members{state="unreachable"}`, func(s membership.Summary) float64 { return float64(s.Unreachable) }},
		{`members{state="dead"}`, func(s membership.Summary) float64 { return float64(s.Dead) }},
		{`members{state="left"}`, func(s membership.Summary) float64 { return float64(s.Left) }},
		{"health", func(s membership.Summary) float64 { return float64(s.HealthScore) }},
		{"loss_ratio", func(s membership.Summary) float64 { return s.LossRate }},
		{"round_trip_seconds", func(s membership.Summary) float64 { return s.RoundTripMs / 1000 }},
		{"news_pending", func(s membership.Summary) float64 { return float64(s.PendingRumors) }},
		{"part", partialGauge},
	} {
		t.metricSet.NewGauge(metricPrefix+gauge.name, func() float64 { return gauge.value(t.view.Summary()) })
	}
}

// partialGauge returns 1 if the view sees only a part of the fleet, and 0 otherwise.
func partialGauge(s membership.Summary) float64 {
	if s.Partial {
		return 1
	}
	return 0
}
