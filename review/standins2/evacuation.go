package main

import (
	"fmt"
	"sync"
	"time"
)

// Clients of the evacuation case: some send their next request when the last one is answered, some send at an interval
// and don't wait for answers, so that a few requests are always in flight.
const (
	sendInterval     = 20 * time.Millisecond
	pipeliningCount  = 3
	plainCount       = 3
	evacuationLimit  = 4.0 // seconds after the call by which clients' connections are let go
	recentRequestSec = 2.0
)

// stream is a client that sends on its connection for as long as it stays open.
type stream struct {
	name     string
	mutex    sync.Mutex
	lastMs   float64 // when it last sent a request
	endedMs  float64 // when its connection ended; 0: it is open
	answered int
}

// play sends requests until stop is closed or the connection ends. A client that pipelines sends at an interval, another
// one after each answer.
func (s *stream) play(p *player, g *gateway, pipelines bool, stop <-chan struct{}) {
	c, err := dialClient(g.listen, 0)
	if err != nil {
		p.record.printf("client %s can't connect: %v", s.name, err)
		return
	}
	defer c.close()
	if pipelines {
		go s.sendAtInterval(c, stop)
	} else if s.send(c) != nil {
		return
	}
	for {
		select {
		case <-stop:
			return
		default:
		}
		_ = c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := c.readAnswer()
		if err == nil && !pipelines {
			err = s.send(c)
		}
		s.mutex.Lock()
		s.answered++
		if err != nil {
			s.endedMs = nowMs()
			p.record.printf("client %s: its connection has ended after %d answers: %v", s.name, s.answered-1, err)
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
	}
}

// send sends one request.
func (s *stream) send(c *client) error {
	_, text := query("sensor-view", "key-"+s.name, "", 1000)
	s.mutex.Lock()
	s.lastMs = nowMs()
	s.mutex.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(3 * time.Second))
	return c.send(text)
}

// sendAtInterval sends requests without waiting for their answers.
func (s *stream) sendAtInterval(c *client, stop <-chan struct{}) {
	for s.send(c) == nil {
		select {
		case <-stop:
			return
		case <-time.After(sendInterval):
		}
	}
}

// heldAt says whether the connection is open and how old its last request is.
func (s *stream) heldAt() (open bool, lastAgeMs float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.endedMs == 0, nowMs() - s.lastMs
}

// evacuation sends clients away. Four seconds after the call no connection may be held with a recent request.
func evacuation(p *player) ([]string, error) {
	d, err := p.deploy()
	if err != nil {
		return nil, err
	}
	for _, h := range d.hosts {
		h.quiet, h.workMs = true, 60
	}
	g, err := p.startGateway(platformConfig(d.lists.address, settings(commonClasses, "automatic")))
	if err != nil {
		return nil, err
	}
	var streams []*stream
	for i := range plainCount + pipeliningCount {
		s := &stream{name: fmt.Sprintf("plain%d", i)}
		pipelines := i >= plainCount
		if pipelines {
			s.name = fmt.Sprintf("pipeline%d", i)
		}
		streams = append(streams, s)
		d.load.Go(func() { s.play(p, g, pipelines, d.stop) })
	}
	startMs := nowMs()
	at(startMs, 3)
	if p.trouble {
		if err := g.call("/api/evacuate"); err != nil {
			return nil, fmt.Errorf("%w: %w", errSetup, err)
		}
		p.record.printf("PUT /api/evacuate: yes")
	}
	calledMs := nowMs()
	p.record.printf("the empty query is answered with yes: %v", answersEmptyQuery(g.listen))
	at(calledMs, evacuationLimit+slackMs/1000)
	var violations []string
	for _, s := range streams {
		open, ageMs := s.heldAt()
		p.record.printf("client %s: open=%v, last request %.0f ms ago", s.name, open, ageMs)
		if p.trouble && open && ageMs < recentRequestSec*1000 {
			violations = append(violations, fmt.Sprintf(
				"the connection of client %s is still held %.2f s after the call, with a request sent %.0f ms ago",
				s.name, (nowMs()-calledMs)/1000, ageMs))
		}
	}
	at(calledMs, 8)
	for _, s := range streams {
		open, ageMs := s.heldAt()
		p.record.printf("8 s after the call, client %s: open=%v, last request %.0f ms ago", s.name, open, ageMs)
	}
	d.end()
	return violations, nil
}
