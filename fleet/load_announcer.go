package fleet

import "math"

const (
	loadSmoothing         = 0.2      // weight of the newest second in the moving average
	minLoadSamples        = 5        // seconds that are averaged before the first announcement
	minAnnounceIntervalMs = 10_000.0 // between two announcements
	announceChangeFactor  = 1.5      // by which the load must have grown or shrunk to be announced again
	minAnnouncedLoad      = 0.1      // requests a second; an announced load of 0 would mean that it is unknown
)

// LoadAnnouncer decides when a gateway announces its load to the fleet. An announcement reaches every gateway, so
// announcements must be rare. The zero value has announced nothing.
type LoadAnnouncer struct {
	smoothedLoad  float64 // requests a second
	announcedLoad float64 // requests a second; 0: nothing announced yet
	announcedAt   float64
	samples       int
}

// Observe records the load of the last second, in requests a second, and returns the load to announce: 0 if there is
// none yet.
func (l *LoadAnnouncer) Observe(now, load float64) float64 {
	l.samples++
	if l.samples == 1 {
		l.smoothedLoad = load
	}
	l.smoothedLoad += max(loadSmoothing, 1/float64(l.samples)) * (load - l.smoothedLoad)
	current := max(l.smoothedLoad, minAnnouncedLoad)
	if l.samples >= minLoadSamples && l.isDue(now, current) {
		l.announcedLoad = math.Round(10*current) / 10
		l.announcedAt = now
	}
	return l.announcedLoad
}

// isDue reports whether a load is to be announced: the first one at once, others if they differ enough.
func (l *LoadAnnouncer) isDue(now, load float64) bool {
	if l.announcedLoad == 0 {
		return true
	}
	if now < l.announcedAt+minAnnounceIntervalMs {
		return false
	}
	return load > announceChangeFactor*l.announcedLoad || load*announceChangeFactor < l.announcedLoad
}
