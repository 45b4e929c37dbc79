package soak

import (
	"sync"
	"time"
)

// store holds the data of all groups: for each session the written values with the times of their commits. Replicas see
// a commit after the replication lag.
type store struct {
	mutex sync.Mutex
	lag   time.Duration
	rows  map[string][]rowVersion // by session, oldest first
}

// rowVersion is one committed write.
type rowVersion struct {
	value       int
	committedAt time.Time
}

func newStore(lag time.Duration) *store { return &store{lag: lag, rows: map[string][]rowVersion{}} }

// write commits a value of a session.
func (s *store) write(session string, value int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.rows[session] = append(s.rows[session], rowVersion{value, time.Now()})
}

// read returns the largest value of a session that was committed at or before a time; 0 if there is none.
func (s *store) read(session string, upTo time.Time) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	largest := 0
	for _, row := range s.rows[session] {
		if !row.committedAt.After(upTo) {
			largest = max(largest, row.value)
		}
	}
	return largest
}
