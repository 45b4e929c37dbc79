package faultsim

import (
	"time"
)

// The names of the engines in Experiment.Engines, in Result.Engine and on the command line.
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
	Trace        uint64         `json:"trace"`             // hash over the state changes, in order, and the request counts
	Duration     time.Duration  `json:"-"`                 // wall-clock time of the run
	Hosts        map[string]int `json:"hosts,omitempty"`   // number of statements by host
	Latency      []float64      `json:"latency,omitempty"` // latency, in ms, at each percentile from 0 to 100
}

// Series holds measurements over time, with one entry for each sampleIntervalMs.
type Series struct {
	Seconds         []float64 `json:"seconds"`    // time since second 0
	Up              []float64 `json:"up"`         // number of gateways that are up
	Believed        []float64 `json:"believed"`   // mean number of gateways that a gateway believes to be up
	WrongBeliefs    []float64 `json:"wrong"`      // number of wrong beliefs
	FalseSuspicions []float64 `json:"doubts"`     // number of false suspicions so far
	BytesMean       []float64 `json:"bytes_mean"` // bytes sent per second and gateway
	BytesMax        []float64 `json:"bytes_most"` // bytes sent per second by the busiest gateway
}

// trafficSample is the traffic that the gateways sent in one sample interval.
type trafficSample struct {
	bytesPerSecond        float64 // by all gateways
	busiestBytesPerSecond float64 // by the busiest one
}

// add adds an entry and passes it to progress, which may be nil.
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
