package faultsim

import (
	"math"
	"slices"
)

// Measurements are the figures of a run, by name. NaN means that the run had nothing to measure.
type Measurements map[string]float64

// The names of the figures in experiment files and reports. Expect describes those that an experiment can set bounds on.
const (
	FigureSuspectMs             = "suspect_ms"
	FigureFirstDeathMs          = "first_ms"
	FigureAllDetectedMs         = "everyone_ms"
	FigureAllDetectedMedianMs   = "everyone_median_ms"
	FigureAgreementMs           = "agree_ms"
	FigureRecoveryMs            = "back_ms"
	FigureFalseDeaths           = "false_deaths"
	FigureFalseSuspicions       = "false_doubts"
	FigureSuspicionsAfterReturn = "return_blames"
	FigureFlaps                 = "flaps"
	FigureBytesPerSecond        = "bytes_s"
	FigureIsolated              = "deaf"
	FigureDisputed              = "unheard"
	FigureSlow                  = "slow"
	FigureNameTaken             = "taken"
	FigurePartialViews          = "part"

	FigureSent                 = "sent"
	FigureServed               = "served"
	FigureRejected             = "refused"
	FigureFailed               = "failed"
	FigureLost                 = "lost"
	FigureExcused              = "excused"
	FigureHeldUpMs             = "held_up_ms" // how long the engine's own process was held up
	FigureStale                = "stale"
	FigureServedShare          = "served_share"
	FigureRejectedShare        = "refused_share"
	FigureWorstSecond          = "worst_second"
	FigureP50Ms                = "p50_ms"
	FigureP99Ms                = "p99_ms"
	FigureDuplicateWrites      = "doubled"
	FigureStatementsAfterDrain = "drained"
	FigureOverloads            = "cold"

	FigureHostConnsMean       = "conns_host_mean"
	FigureHostConnsSpread     = "conns_host_spread"
	FigurePrimaryConns        = "conns_primary"
	FigureGatewayConns        = "conns_gateway"
	FigureProbesPerSecond     = "probes_s"
	FigureHandshakesPerSecond = "handshakes_s"
	FigurePollsPerSecond      = "calls_s"
	FigureHandshakes          = "handshakes"
	FigureMisdirected         = "misdirected"
	FigureHandshakesPeak      = "handshakes_peak"
	FigureProbesPeak          = "probes_peak"
	FigurePollsPeak           = "calls_peak"
	FigureMisdirectedPeak     = "misdirected_peak"
)

// median returns the median of values, or NaN if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return (sorted[(len(sorted)-1)/2] + sorted[len(sorted)/2]) / 2
}

// largest returns the maximum of values, or NaN if there are none.
func largest(values []float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	return slices.Max(values)
}
