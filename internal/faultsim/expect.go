package faultsim

import (
	"fmt"
	"math"
	"strconv"
)

// Expect is the bounds that must hold; those that are not set are not checked. Pairs are [least, most], for counts of
// gateways. All others are upper bounds, except the last group. The steady state is the time up to the first fault.
type Expect struct {
	SuspectMs             *float64 `toml:"suspect_ms"`    // median over crashes: until the first viewer suspects
	FirstDeathMs          *float64 `toml:"first_ms"`      // median over crashes: until the first viewer declares it dead
	AllDetectedMs         *float64 `toml:"everyone_ms"`   // longest over crashes: until no viewer believes it to be up
	AgreementMs           *float64 `toml:"agree_ms"`      // from the last step until all beliefs are right
	RecoveryMs            *float64 `toml:"back_ms"`       // longest: from a return to beliefs by and of it that are right
	FalseDeaths           *float64 `toml:"false_deaths"`  // of members that were up, running and reachable
	FalseSuspicions       *float64 `toml:"false_doubts"`  // of such members, one for each viewer
	SuspicionsAfterReturn *float64 `toml:"return_blames"` // by members that had just been paused
	Flaps                 *float64 `toml:"flaps"`         // how often one gateway gives up another
	BytesPerSecond        *float64 `toml:"bytes_s"`       // sent by the busiest gateway, mean up to the first fault
	Isolated              []int    `toml:"deaf"`          // gateways that reported the status
	Disputed              []int    `toml:"unheard"`       // gateways that reported the status
	Slow                  []int    `toml:"slow"`          // gateways that reported the status
	NameTaken             []int    `toml:"taken"`         // gateways that reported the status
	PartialViews          []int    `toml:"part"`          // gateways that reported a partial view

	Lost                 *float64 `toml:"lost"`    // requests without an answer although nothing was done to their gateway
	DuplicateWrites      *float64 `toml:"doubled"` // idempotent writes that ran twice
	StatementsAfterDrain *float64 `toml:"drained"` // at a host whose drain's grace period has passed
	Overloads            *float64 `toml:"cold"`    // of hosts in slow start
	Stale                *float64 `toml:"stale"`   // reads that miss a write of their session
	P99Ms                *float64 `toml:"p99_ms"`  // latency from the intended time

	HostConnsSpread     *float64 `toml:"conns_host_spread"` // most connections of a replica, by the mean; steady state
	GatewayConns        *float64 `toml:"conns_gateway"`     // connections of a gateway to hosts, mean; steady state
	ProbesPerSecond     *float64 `toml:"probes_s"`          // health checks over the fleet; steady state
	HandshakesPerSecond *float64 `toml:"handshakes_s"`      // over the fleet; steady state
	PollsPerSecond      *float64 `toml:"calls_s"`           // of discovery over the fleet; steady state
	HandshakesPeak      *float64 `toml:"handshakes_peak"`   // most in one second since the first fault
	ProbesPeak          *float64 `toml:"probes_peak"`       // most in one second since the first fault
	PollsPeak           *float64 `toml:"calls_peak"`        // most in one second since the first fault
	MisdirectedPeak     *float64 `toml:"misdirected_peak"`  // writes at replicas, most in one second since the first fault
	RejectedShare       *float64 `toml:"refused_share"`     // of the requests

	// Lower bounds:
	ServedShare *float64 `toml:"served_share"` // of the requests
	WorstSecond *float64 `toml:"worst_second"` // served share in the worst second
}

// Verdict is one bound and whether it holds.
type Verdict struct {
	Name     string  `json:"name"` // of the figure
	Value    float64 `json:"-"`
	Bound    string  `json:"bound"`
	OK       bool    `json:"ok"`
	Measured bool    `json:"asked"` // the engine measures the figure; a bound of one that is not measured holds
	Text     string  `json:"text"`  // the verdict in one line
}

// bound is a check of one figure. A figure that is NaN, nothing to measure, fails every bound.
type bound struct {
	figure string
	text   string
	holds  func(value float64) bool
}

// limit is a bound that may not be set.
type limit struct {
	figure string
	value  *float64
}

// countRange is a [least, most] that may not be set.
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
