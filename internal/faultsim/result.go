package faultsim

import (
	"time"
)

// The engines, as Experiment.Engines, Result.Engine and the command line name them.
const (
	EngineEmulated  = "emulated"
	EngineProcesses = "processes"
)

// Result is the result of one run.
type Result struct {
	Experiment   string         `json:"experiment"`
	Engine       string         `json:"engine"`
	Seed         uint64         `json:"seed"`
	Gateways     int            `json:"gateways"`
	Measurements Measurements   `json:"figures"`
	Verdicts     []Verdict      `json:"verdicts"`
	Series       Series         `json:"series"`
	Datagrams    int            `json:"datagrams"`
	Trace        uint64         `json:"trace"`             // a hash over all that the gateways did, in order
	Duration     time.Duration  `json:"-"`                 // of the run itself
	Hosts        map[string]int `json:"hosts,omitempty"`   // statements by host
	Latency      []float64      `json:"latency,omitempty"` // ms at each percentile from 0 to 100
}

// Series are measurements over time, one entry each sampleIntervalMs.
type Series struct {
	Seconds         []float64 `json:"seconds"`
	Up              []float64 `json:"up"`       // gateways
	Believed        []float64 `json:"believed"` // to be up, by a gateway on average
	WrongBeliefs    []float64 `json:"wrong"`
	FalseSuspicions []float64 `json:"doubts"`     // so far
	BytesMean       []float64 `json:"bytes_mean"` // sent per second and gateway
	BytesMax        []float64 `json:"bytes_most"` // sent per second by the busiest gateway
}

// trafficSample is what the gateways sent in one sample interval.
type trafficSample struct {
	bytesPerSecond        float64 // by all gateways
	busiestBytesPerSecond float64 // by the busiest one
}

// add adds an entry and reports it as progress, which may be nil.
func (s *Series) add(seconds float64, oracle *Oracle, traffic trafficSample, progress func(Progress)) {
	up, believed := oracle.CountUp()
	if progress != nil {
		progress(Progress{Seconds: seconds, Up: up, Believed: believed, WrongBeliefs: oracle.wrongBeliefs})
	}
	s.Seconds = append(s.Seconds, seconds)
	s.Up = append(s.Up, float64(up))
	s.Believed = append(s.Believed, believed)
	s.WrongBeliefs = append(s.WrongBeliefs, float64(oracle.wrongBeliefs))
	s.FalseSuspicions = append(s.FalseSuspicions, float64(oracle.FalseSuspicions))
	s.BytesMean = append(s.BytesMean, traffic.bytesPerSecond/float64(max(1, up)))
	s.BytesMax = append(s.BytesMax, traffic.busiestBytesPerSecond)
}
