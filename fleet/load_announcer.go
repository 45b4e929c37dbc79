package fleet

import "math"

const (
	loadSmoothing         = 0.2      // weight of the newest sample in the moving average
	minLoadSamples        = 5        // samples, one a second, that are averaged before the first announcement
	minAnnounceIntervalMs = 10_000.0 // minimum time between two announcements
	announceChangeFactor  = 1.5      // the load is announced again once it has grown or shrunk by more than this factor
	minAnnouncedLoad      = 0.1      // requests a second; an announced load of 0 would mean that the load is unknown
)

// LoadAnnouncer decides when a gateway announces its load to the fleet. Each announcement is sent to every gateway, so
// announcements must be rare. The zero value has announced nothing.
type LoadAnnouncer struct {
	smoothedLoad  float64 // requests a second
	announcedLoad float64 // requests a second; 0: nothing announced yet
	announcedAt   float64
	samples       int
}

// Observe records the load of the last second, in requests a second, and returns the load that the gateway announces:
// the last one that was due, or 0 if none has been due yet.
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

// isDue reports whether a load is to be announced. The first load is announced at once. A later load is announced after
// minAnnounceIntervalMs if it differs from the announced one by more than announceChangeFactor.
func (l *LoadAnnouncer) isDue(now, load float64) bool {
	if l.announcedLoad == 0 {
		return true
	}
	if now < l.announcedAt+minAnnounceIntervalMs {
		return false
	}
	return load > announceChangeFactor*l.announcedLoad || load*announceChangeFactor < l.announcedLoad
}
