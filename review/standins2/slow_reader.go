package main

import (
	"fmt"
	"sync"
	"time"
)

// Clients of the slow-reader case.
const (
	slowReaderCount = 4
	slowValueBytes  = 600 << 10
	slowReadPause   = 250 * time.Millisecond // after each 4 KiB: 16 KiB a second
)

// slowReader lets clients read a large value slowly, but without ever stopping. Hosts and network are sound. The value has
// to arrive whole.
func slowReader(p *player) ([]string, error) {
	d, err := p.deploy()
	if err != nil {
		return nil, err
	}
	g, err := p.startGateway(platformConfig(d.lists.address, settings(commonClasses, "automatic")))
	if err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	var violations []string
	begun := 0
	var readers sync.WaitGroup
	for i := range slowReaderCount {
		readers.Go(func() {
			violation, began := d.readSlowly(g, i)
			mutex.Lock()
			defer mutex.Unlock()
			if began {
				begun++
			}
			if violation != "" {
				violations = append(violations, violation)
			}
		})
	}
	readers.Wait()
	d.end()
	if begun == 0 {
		return nil, fmt.Errorf("%w: no value has begun to arrive", errSetup)
	}
	return violations, nil
}

// readSlowly reads one value. It returns whether the value has begun to arrive, and then a violation if the gateway ends the
// connection before it is whole.
func (d *deployment) readSlowly(g *gateway, reader int) (violation string, begun bool) {
	c, err := dialClient(g.listen, 16<<10)
	if err != nil {
		d.record.printf("client %d can't connect: %v", reader, err)
		return "", false
	}
	defer c.close()
	parts, lastPartMs, longestMs := 0, nowMs(), 0.0
	c.pause = func(int) {
		parts++
		longestMs = max(longestMs, nowMs()-lastPartMs)
		lastPartMs = nowMs()
		if d.trouble {
			time.Sleep(slowReadPause)
		}
	}
	id, text := query("sensor-view", fmt.Sprintf("big-%d", slowValueBytes), "", 1000)
	startMs := nowMs()
	a, err := c.ask(text, 100*time.Second)
	d.record.printf("client %d, request %s: %d parts of 4 KiB in %.1f s, at most %.0f ms from part to part, value of %d bytes, %s, error %v",
		reader, id, parts, (nowMs()-startMs)/1000, longestMs, len(a.value), a.outcome(), err)
	if parts == 0 || err == nil && len(a.value) == slowValueBytes {
		return "", parts > 0
	}
	return fmt.Sprintf("request %s: the gateway ended the connection after %d of %d KiB, %.1f s after the request; the client had read "+
		"without stopping, at most %.0f ms from part to part: %v", id, parts*4, slowValueBytes>>10, (nowMs()-startMs)/1000, longestMs, err), true
}
