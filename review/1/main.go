// The case plays controllers that send many commands at once, while hosts send some answers a second time right after.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/review/standin"
)

const (
	memoryMB    = 192
	valueBytes  = 65000 // at most 64 KiB
	controllers = 24
	commands    = 32 // that a controller sends at once
	round       = 2400 * time.Millisecond
	repeated    = 0.1 // share of answers that are sent twice
	hostCount   = 5
	lasts       = 60 * time.Second
)

// scene is the state of the case.
type scene struct {
	*standin.Case
	mutex     sync.Mutex
	counts    map[string]int
	copies    int             // answers that were sent twice
	excused   map[string]bool // commands that may have been sent before such a copy came
	foreign   []string        // commands that were answered with the value of another one
	wrongSite int             // of these, the commands of another controller
}

func main() { standin.Main(play) }

func play(c *standin.Case) (bool, error) {
	s := &scene{Case: c, counts: map[string]int{}, excused: map[string]bool{}}
	var hosts []*standin.Host
	for i := range hostCount {
		host := &standin.Host{ID: fmt.Sprintf("s-%d", i+1), Zone: "vittoria", Group: 11, Behaviour: s.behaviour()}
		host.SetPrimary(i == 0)
		hosts = append(hosts, host)
	}
	if err := c.Begin(hosts, memoryMB, standin.RagusaSettings()); err != nil {
		return false, err
	}
	var open sync.WaitGroup
	for n := 0; c.Since() < lasts; n++ {
		for k := range controllers {
			open.Go(func() { s.pipeline(n, k) })
		}
		c.WaitUntil(time.Duration(n+1) * round)
	}
	open.Wait()
	counted := 0
	for _, id := range s.foreign {
		if !s.excused[id] {
			counted++
		}
	}
	c.Summary("answers: %v; %d were sent twice; %d commands may have been sent before the copy came", s.counts, s.copies, len(s.excused))
	c.Summary("%d commands were served with the value of another one, %d with that of another controller; %d count",
		len(s.foreign), s.wrongSite, counted)
	return counted > 0 || !c.Gateway.Running(), nil
}

// behaviour is that of all hosts. The value that answers a command begins with the command's id.
func (s *scene) behaviour() standin.Behaviour {
	filling := strings.Repeat("v", valueBytes)
	return standin.Behaviour{
		GreetAfter:     func() time.Duration { return 3 * time.Millisecond },
		Work:           func(standin.Statement) time.Duration { return time.Duration(5+rand.IntN(20)) * time.Millisecond },
		Value:          func(st standin.Statement) []byte { return []byte(st.ID + "|" + filling) },
		Position:       func(at time.Time) time.Time { return at },
		StampedAnswers: true,
		Arrived:        func(standin.Statement, time.Time) {},
		Ran:            func(st standin.Statement) { s.Printf("%s ran at %s", st.ID, st.Host.ID) },
		Repeat:         func(standin.Statement) bool { return s.Trouble && rand.Float64() < repeated },
		Repeated: func(st standin.Statement, waits bool) {
			s.Printf("%s: %s sent the answer twice (next command there already: %v)", st.ID, st.Host.ID, waits)
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.copies++
		},
		SentBeforeCopy: func(st standin.Statement) {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.excused[st.ID] = true
		},
	}
}

// pipeline sends the reads of a controller at once on a new connection and reads the answers.
func (s *scene) pipeline(n, k int) {
	client, err := standin.Connect(s.Gateway.Address)
	if err != nil {
		s.Printf("controller %d could not connect: %v", k, err)
		return
	}
	defer client.Close()
	id := func(i int) string { return fmt.Sprintf("r%d-%d-%d", n, k, i) }
	var out []byte
	for i := range commands {
		out = pg.AppendStrings(out, pg.MsgQuery, fmt.Sprintf(
			"SELECT v FROM records WHERE k = 'q%d-%d' /* id=%s,c=sensor-view,t=ipparina,d=1000,cluster=11 */", k, i, id(i)))
	}
	if err := client.Send(out); err != nil {
		s.Printf("controller %d could not send: %v", k, err)
		return
	}
	s.Printf("controller %d sent %s to %s", k, id(0), id(commands-1))
	for i := range commands {
		answer, err := client.Receive(time.Now().Add(5 * time.Second))
		if err != nil {
			s.Printf("%s no answer: %v", id(i), err)
			return
		}
		s.check(id(i), fmt.Sprintf("r%d-%d-", n, k), answer)
	}
}

// check records an answer. prefix is that of the controller's commands.
func (s *scene) check(id, prefix string, answer standin.Answer) {
	made, _, _ := strings.Cut(string(answer.Value), "|")
	s.Printf("%s %s %s %s", id, answer.Outcome(), answer.SQLState, made)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[answer.Outcome()]++
	if answer.Outcome() != "served" || made == id {
		return
	}
	s.Printf("%s FOREIGN: served with the value that was made for %s", id, made)
	s.foreign = append(s.foreign, id)
	if !strings.HasPrefix(made, prefix) {
		s.wrongSite++
	}
}
