package faultsim

import (
	"time"
)

// Result is what a run gives.
type Result struct {
	Experiment   string         `json:"experiment"`
	Engine       string         `json:"engine"`
	Seed         uint64         `json:"seed"`
	Gateways     int            `json:"gateways"`
	Measurements Measurements   `json:"figures"`
	Verdicts     []Verdict      `json:"verdicts"`
	Series       Series         `json:"series"`
	Datagrams    int            `json:"datagrams"`
	Trace        uint64         `json:"trace"` // a hash over all that the gateways did, in order
	Took         time.Duration  `json:"-"`
	Hosts        map[string]int `json:"hosts,omitempty"`
	Latency      []float64      `json:"latency,omitempty"` // ms at each percentile from 0 to 100
}

// Series are figures over time, one entry each sampleMs.
type Series struct {
	Seconds   []float64 `json:"seconds"`
	Up        []float64 `json:"up"`
	Believed  []float64 `json:"believed"`
	Wrong     []float64 `json:"wrong"`  // beliefs
	Doubts    []float64 `json:"doubts"` // false ones so far
	BytesMean []float64 `json:"bytes_mean"`
	BytesMost []float64 `json:"bytes_most"`
}

// add takes a sample: what is so, what all gateways together sent a second and the busiest one.
func (s *Series) add(seconds float64, t *Oracle, bytes, busiest float64, progress func(float64, int, float64, int)) {
	up, believed := t.Alive()
	if progress != nil {
		progress(seconds, up, believed, t.wrong)
	}
	s.Seconds = append(s.Seconds, seconds)
	s.Up = append(s.Up, float64(up))
	s.Believed = append(s.Believed, believed)
	s.Wrong = append(s.Wrong, float64(t.wrong))
	s.Doubts = append(s.Doubts, float64(t.FalseDoubts))
	s.BytesMean = append(s.BytesMean, bytes/float64(max(1, up)))
	s.BytesMost = append(s.BytesMost, busiest)
}
