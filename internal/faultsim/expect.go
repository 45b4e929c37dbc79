package faultsim

import (
	"fmt"
	"math"
	"strconv"
)

// Expect holds the bounds that an experiment sets on its figures. A bound that is not set is not checked. A single value
// is an upper bound, except for ServedShare and WorstSecond, which are lower bounds. A pair is [least, most], for a number
// of gateways. The steady state is the time from second 0 to the first fault. A viewer is a gateway that has beliefs about
// the other gateways. A return is the end of a pause or of starvation.
type Expect struct {
	SuspectMs             *float64 `toml:"suspect_ms"`    // time from a crash to the first suspicion, median
	FirstDeathMs          *float64 `toml:"first_ms"`      // time from a crash to the first declared death, median
	AllDetectedMs         *float64 `toml:"everyone_ms"`   // longest time from a crash until no viewer believes the gateway up
	AgreementMs           *float64 `toml:"agree_ms"`      // time from the last step until all beliefs are right
	RecoveryMs            *float64 `toml:"back_ms"`       // longest time from a return to right beliefs by and of the gateway
	FalseDeaths           *float64 `toml:"false_deaths"`  // declared deaths of up, running and reachable members
	FalseSuspicions       *float64 `toml:"false_doubts"`  // suspicions of up, running and reachable members, per viewer
	SuspicionsAfterReturn *float64 `toml:"return_blames"` // suspicions by members that had just been paused
	Flaps                 *float64 `toml:"flaps"`         // most times that one gateway believed another dead or unreachable
	BytesPerSecond        *float64 `toml:"bytes_s"`       // bytes sent per second by the busiest gateway, steady state
	Isolated              []int    `toml:"deaf"`          // number of gateways that reported StatusIsolated
	Disputed              []int    `toml:"unheard"`       // number of gateways that reported StatusDisputed
	Slow                  []int    `toml:"slow"`          // number of gateways that reported StatusSlow
	NameTaken             []int    `toml:"taken"`         // number of gateways that reported StatusNameTaken
	PartialViews          []int    `toml:"part"`          // number of gateways that reported a partial view

	Lost                 *float64 `toml:"lost"`    // requests without an answer although no fault affected their gateway
	DuplicateWrites      *float64 `toml:"doubled"` // idempotent writes that a host executed twice
	StatementsAfterDrain *float64 `toml:"drained"` // statements at a host after the grace period of its drain
	Overloads            *float64 `toml:"cold"`    // overloads of hosts in slow start
	Stale                *float64 `toml:"stale"`   // reads that miss a write of their session
	P99Ms                *float64 `toml:"p99_ms"`  // 99th percentile of the latency, measured from the intended send time

	HostConnsSpread     *float64 `toml:"conns_host_spread"` // ratio of most to mean connections of a replica; steady state
	GatewayConns        *float64 `toml:"conns_gateway"`     // mean number of connections of a gateway to hosts; steady state
	ProbesPerSecond     *float64 `toml:"probes_s"`          // health checks of the whole fleet; steady state
	HandshakesPerSecond *float64 `toml:"handshakes_s"`      // handshakes of the whole fleet with hosts; steady state
	PollsPerSecond      *float64 `toml:"calls_s"`           // discovery polls of the whole fleet; steady state
	HandshakesPeak      *float64 `toml:"handshakes_peak"`   // most handshakes in one second after the first fault
	ProbesPeak          *float64 `toml:"probes_peak"`       // most health checks in one second after the first fault
	PollsPeak           *float64 `toml:"calls_peak"`        // most discovery polls in one second after the first fault
	MisdirectedPeak     *float64 `toml:"misdirected_peak"`  // most writes at replicas in one second after the first fault
	RejectedShare       *float64 `toml:"refused_share"`     // rejected share of the requests

	// The following are lower bounds.
	ServedShare *float64 `toml:"served_share"` // served share of the requests
	WorstSecond *float64 `toml:"worst_second"` // served share of the requests in the worst second
}

// Verdict says whether one bound holds.
type Verdict struct {
	Name     string  `json:"name"`  // name of the figure
	Value    float64 `json:"-"`     // measured value of the figure
	Bound    string  `json:"bound"` // the bound as text
	OK       bool    `json:"ok"`    // the bound holds, or the figure was not measured
	Measured bool    `json:"asked"` // the engine measures the figure
	Text     string  `json:"text"`  // the verdict in one line
}

// bound is a check of one figure. No bound holds for NaN, which means that the run had nothing to measure.
type bound struct {
	figure string
	text   string
	holds  func(value float64) bool
}

// limit is an upper or lower bound of an experiment. It is not set if value is nil.
type limit struct {
	figure string
	value  *float64
}

// countRange is a pair of bounds, [least, most], of an experiment. It is not set if pair is empty.
type countRange struct {
	figure string
	pair   []int
}

// Evaluate returns a verdict for each bound that is set.
func (e *Expect) Evaluate(figures Measurements) []Verdict {
	var verdicts []Verdict
	for _, bound := range e.bounds() {
		verdicts = append(verdicts, bound.evaluate(figures))
	}
	return verdicts
}

// bounds returns the bounds that are set: upper limits, lower limits, then ranges.
func (e *Expect) bounds() []bound {
	var bounds []bound
	for _, limit := range e.upperLimits() {
		if limit.value != nil {
			text := "at most " + strconv.FormatFloat(*limit.value, 'f', -1, 64)
			bounds = append(bounds, bound{limit.figure, text, func(value float64) bool { return value <= *limit.value }})
		}
	}
	for _, limit := range e.lowerLimits() {
		if limit.value != nil {
			text := "at least " + strconv.FormatFloat(*limit.value, 'f', -1, 64)
			bounds = append(bounds, bound{limit.figure, text, func(value float64) bool { return value >= *limit.value }})
		}
	}
	for _, counts := range e.countRanges() {
		if len(counts.pair) == 2 {
			least, most := counts.pair[0], counts.pair[1]
			bounds = append(bounds, bound{counts.figure, fmt.Sprintf("%d to %d", least, most), func(value float64) bool {
				return value >= float64(least) && value <= float64(most)
			}})
		}
	}
	return bounds
}

func (e *Expect) upperLimits() []limit {
	return []limit{
		{FigureSuspectMs, e.SuspectMs},
		{FigureFirstDeathMs, e.FirstDeathMs},
		{FigureAllDetectedMs, e.AllDetectedMs},
		{FigureAgreementMs, e.AgreementMs},
		{FigureRecoveryMs, e.RecoveryMs},
		{FigureFalseDeaths, e.FalseDeaths},
		{FigureFalseSuspicions, e.FalseSuspicions},
		{FigureSuspicionsAfterReturn, e.SuspicionsAfterReturn},
		{FigureFlaps, e.Flaps},
		{FigureBytesPerSecond, e.BytesPerSecond},
		{FigureLost, e.Lost},
		{FigureDuplicateWrites, e.DuplicateWrites},
		{FigureStatementsAfterDrain, e.StatementsAfterDrain},
		{FigureOverloads, e.Overloads},
		{FigureStale, e.Stale},
		{FigureP99Ms, e.P99Ms},
		{FigureHostConnsSpread, e.HostConnsSpread},
		{FigureGatewayConns, e.GatewayConns},
		{FigureProbesPerSecond, e.ProbesPerSecond},
		{FigureHandshakesPerSecond, e.HandshakesPerSecond},
		{FigurePollsPerSecond, e.PollsPerSecond},
		{FigureHandshakesPeak, e.HandshakesPeak},
		{FigureProbesPeak, e.ProbesPeak},
		{FigurePollsPeak, e.PollsPeak},
		{FigureMisdirectedPeak, e.MisdirectedPeak},
		{FigureRejectedShare, e.RejectedShare},
	}
}

func (e *Expect) lowerLimits() []limit {
	return []limit{
		{FigureServedShare, e.ServedShare},
		{FigureWorstSecond, e.WorstSecond},
	}
}

func (e *Expect) countRanges() []countRange {
	return []countRange{
		{FigureIsolated, e.Isolated},
		{FigureDisputed, e.Disputed},
		{FigureSlow, e.Slow},
		{FigureNameTaken, e.NameTaken},
		{FigurePartialViews, e.PartialViews},
	}
}

func (b *bound) evaluate(figures Measurements) Verdict {
	value, measured := figures[b.figure]
	verdict := Verdict{
		Name:     b.figure,
		Value:    value,
		Bound:    b.text,
		OK:       !measured || b.holds(value),
		Measured: measured,
	}
	mark, shown := "ok  ", strconv.FormatFloat(math.Round(value*1000)/1000, 'f', -1, 64)
	switch {
	case !measured:
		mark, shown = "-   ", "not measured by this engine"
	case !verdict.OK:
		mark = "FAIL"
	}
	verdict.Text = fmt.Sprintf("%s %s: %s (%s)", mark, b.figure, shown, b.text)
	return verdict
}
