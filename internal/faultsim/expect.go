package faultsim

import (
	"fmt"
	"math"
	"sort"
	"strconv"

	"merlinjunction/membership"
)

// Expect says what must hold; what is not set is not asked. A pair is [least, most].
type Expect struct {
	SuspectMs    *float64 `toml:"suspect_ms"`    // median over crashes: until the first one doubts
	FirstMs      *float64 `toml:"first_ms"`      // median: until the first one knows
	EveryoneMs   *float64 `toml:"everyone_ms"`   // longest: until all know
	AgreeMs      *float64 `toml:"agree_ms"`      // from the last step until all views are right
	BackMs       *float64 `toml:"back_ms"`       // longest: from a return until all is right about who came back
	FalseDeaths  *float64 `toml:"false_deaths"`  // of live members that were not held up or cut off
	FalseDoubts  *float64 `toml:"false_doubts"`  // accusations of such, one for each viewer
	ReturnBlames *float64 `toml:"return_blames"` // accusations by members that had been held up
	Flaps        *float64 `toml:"flaps"`         // how often one gateway gives up another
	BytesS       *float64 `toml:"bytes_s"`       // sent by the busiest member a second, mean up to the first fault
	Deaf         []int    `toml:"deaf"`          // how many members found themselves so
	Unheard      []int    `toml:"unheard"`
	Slow         []int    `toml:"slow"`
	Taken        []int    `toml:"taken"`
	Part         []int    `toml:"part"` // knew that they see a part

	// Of the processes engine, from outside:
	Lost        *float64 `toml:"lost"`    // requests without a final answer
	Doubled     *float64 `toml:"doubled"` // keyed writes that ran twice
	Drained     *float64 `toml:"drained"` // requests at a host that drains, after the grace
	Cold        *float64 `toml:"cold"`    // times that a host that had just started was pushed over
	Stale       *float64 `toml:"stale"`   // reads that show less than their session had written
	ServedShare *float64 `toml:"served_share"`
	P99Ms       *float64 `toml:"p99_ms"`

	ConnsHostSpread *float64 `toml:"conns_host_spread"` // connections at the fullest replica by the mean, before the first fault
	ConnsGateway    *float64 `toml:"conns_gateway"`     // connections that a gateway holds then
	ProbesS         *float64 `toml:"probes_s"`          // a second over the fleet, until then
	HandshakesS     *float64 `toml:"handshakes_s"`
	CallsS          *float64 `toml:"calls_s"`
	HandshakesPeak  *float64 `toml:"handshakes_peak"` // the most in a second after it
	ProbesPeak      *float64 `toml:"probes_peak"`
	CallsPeak       *float64 `toml:"calls_peak"`
	MisdirectedPeak *float64 `toml:"misdirected_peak"` // writes at replicas
	RefusedShare    *float64 `toml:"refused_share"`
	WorstSecond     *float64 `toml:"worst_second"` // share served in the worst second, at least
}

// Measurements are what a run measured, by the names of Expect. NaN stands for nothing to measure.
type Measurements map[string]float64

// Verdict is one expectation, held against its figure.
type Verdict struct {
	Name  string  `json:"name"`
	Value float64 `json:"-"`
	Bound string  `json:"bound"`
	OK    bool    `json:"ok"`
	Asked bool    `json:"asked"` // this engine measures it
	Text  string  `json:"text"`
}

func median(list []float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	s := append([]float64(nil), list...)
	sort.Float64s(s)
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

func most(list []float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	m := math.Inf(-1)
	for _, v := range list {
		m = max(m, v)
	}
	return m
}

// Measurements are what the truth has to say.
func (t *Oracle) Measurements() Measurements {
	var suspected, dead, everyone []float64
	for _, f := range t.crashes {
		if math.IsNaN(f.everyone) && math.IsNaN(f.suspected) {
			continue // it was started anew before anybody could know
		}
		if math.IsNaN(f.suspected) {
			f.suspected = math.Inf(1)
		}
		suspected = append(suspected, f.suspected)
		if !math.IsNaN(f.dead) {
			dead = append(dead, f.dead)
		}
		if !math.IsNaN(f.everyone) {
			everyone = append(everyone, f.everyone)
		}
	}
	return Measurements{
		"suspect_ms": median(suspected), "first_ms": median(dead), "everyone_ms": most(everyone), "everyone_median_ms": median(everyone),
		"agree_ms": t.AgreeMs(), "back_ms": most(t.RecoveryTimes), "false_deaths": float64(t.FalseDeaths),
		"false_doubts": float64(t.FalseDoubts), "return_blames": float64(t.ReturnBlames), "flaps": float64(t.MostFlaps()),
		"deaf": float64(len(t.statuses[membership.StatusIsolated])), "unheard": float64(len(t.statuses[membership.StatusDisputed])),
		"slow": float64(len(t.statuses[membership.StatusSlow])), "taken": float64(len(t.statuses[membership.StatusNameTaken])),
		"part": float64(len(t.partialViews)),
	}
}

// Judge holds figures against what is expected.
func (x *Expect) Judge(f Measurements) []Verdict {
	var list []Verdict
	add := func(name, bound string, ok func(float64) bool) {
		v, asked := f[name]
		d := Verdict{Name: name, Value: v, Bound: bound, Asked: asked}
		d.OK = !asked || ok(v)
		word := "ok  "
		switch {
		case !asked:
			word = "-   "
		case !d.OK:
			word = "FAIL"
		}
		figure := "not measured by this engine"
		if asked {
			figure = strconv.FormatFloat(math.Round(v*1000)/1000, 'f', -1, 64)
		}
		d.Text = fmt.Sprintf("%s %s: %s (%s)", word, name, figure, bound)
		list = append(list, d)
	}
	for _, m := range []struct {
		name  string
		bound *float64
	}{{"suspect_ms", x.SuspectMs}, {"first_ms", x.FirstMs}, {"everyone_ms", x.EveryoneMs}, {"agree_ms", x.AgreeMs}, {"back_ms", x.BackMs},
		{"false_deaths", x.FalseDeaths}, {"false_doubts", x.FalseDoubts}, {"return_blames", x.ReturnBlames}, {"flaps", x.Flaps},
		{"bytes_s", x.BytesS}, {"lost", x.Lost}, {"doubled", x.Doubled}, {"drained", x.Drained}, {"cold", x.Cold}, {"stale", x.Stale},
		{"p99_ms", x.P99Ms}, {"conns_host_spread", x.ConnsHostSpread}, {"conns_gateway", x.ConnsGateway}, {"probes_s", x.ProbesS},
		{"handshakes_s", x.HandshakesS}, {"calls_s", x.CallsS}, {"handshakes_peak", x.HandshakesPeak}, {"probes_peak", x.ProbesPeak},
		{"calls_peak", x.CallsPeak}, {"misdirected_peak", x.MisdirectedPeak}, {"refused_share", x.RefusedShare}} {
		if m.bound != nil { // NaN fails: there was nothing to measure
			add(m.name, "at most "+strconv.FormatFloat(*m.bound, 'f', -1, 64), func(v float64) bool { return v <= *m.bound })
		}
	}
	for _, m := range []struct {
		name  string
		bound *float64
	}{{"served_share", x.ServedShare}, {"worst_second", x.WorstSecond}} {
		if m.bound != nil {
			add(m.name, "at least "+strconv.FormatFloat(*m.bound, 'f', -1, 64), func(v float64) bool { return v >= *m.bound })
		}
	}
	for _, m := range []struct {
		name string
		pair []int
	}{{"deaf", x.Deaf}, {"unheard", x.Unheard}, {"slow", x.Slow}, {"taken", x.Taken}, {"part", x.Part}} {
		if len(m.pair) == 2 {
			add(m.name, fmt.Sprintf("%d to %d", m.pair[0], m.pair[1]), func(v float64) bool {
				return v >= float64(m.pair[0]) && v <= float64(m.pair[1])
			})
		}
	}
	return list
}
