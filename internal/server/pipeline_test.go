package server

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinjunction/internal/testkit"
)

const (
	pipelineCount      = 400
	executesInPipeline = 5
	pipelinesAtATime   = 8
)

// Runs hundreds of pipelines, most of them interrupted: by a failing statement, by a host that resets the connection, by a
// client that disconnects at a random byte, or by a primary that drains halfway through the test. Each execute must get
// at most one final response, and none may be skipped before an execute that gets one. No value may run twice, and a
// value that was skipped or rejected must not run.
func TestInterruptedPipelines(t *testing.T) {
	player := testkit.NewPlayer(t, startExtended, "a", "b", "c")
	address, _, _ := player.Gateway.Addrs()
	var running sync.WaitGroup
	slots := make(chan struct{}, pipelinesAtATime)
	for n := range pipelineCount {
		if n == pipelineCount/2 {
			playSteps(t, player, "host b primary", "host a drain")
		}
		slots <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			defer func() { <-slots }()
			if err := runPipeline(player.Cluster, address, n); err != nil {
				t.Errorf("pipeline %d: %v", n, err)
			}
		}()
	}
	running.Wait()
	playSteps(t, player, "send z startup | query SELECT v FROM s WHERE greenhouse = 'g'")
	if err := player.Step("expect z R K Z T D C Z"); err != nil {
		t.Error(err)
	}
	player.Gateway.Stop()
	if err := player.Gateway.Wait(); err != nil {
		t.Error(err)
	}
	if g := player.Gateway.(*runningGateway); g.core.OpenRequests() != 0 {
		t.Errorf("%d requests are still open", g.core.OpenRequests())
	}
}

// runPipeline sends the pipeline with the given number and checks its outcome.
func runPipeline(cluster *testkit.Cluster, address string, number int) error {
	rng := rand.New(rand.NewPCG(7, uint64(number)))
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	values := pipelineValues(number, rng)
	out, err := encodePipeline(values)
	if err != nil {
		return err
	}
	if number%4 == 3 {
		return disconnectInPipeline(cluster, conn, out[:rng.IntN(len(out))], values)
	}
	if _, err := conn.Write(out); err != nil {
		return err
	}
	outcome, err := readPipeline(conn)
	if err != nil {
		return err
	}
	return outcome.check(cluster, values)
}

// pipelineValues returns the values that the pipeline inserts. In half of the pipelines one of them makes its host fail.
func pipelineValues(number int, rng *rand.Rand) []string {
	failing := rng.IntN(2 * executesInPipeline)
	var values []string
	for i := range executesInPipeline {
		value := fmt.Sprintf("v%d.%d", number, i)
		if i == failing {
			value += []string{"fail", "reset", "error"}[rng.IntN(3)]
		}
		values = append(values, value)
	}
	return values
}

func encodePipeline(values []string) ([]byte, error) {
	messages := []string{"startup", "parse w INSERT INTO audit VALUES ($1)"}
	for _, value := range values {
		messages = append(messages, "bind - w "+value, "execute -")
	}
	messages = append(messages, "sync")
	var out []byte
	for _, message := range messages {
		var err error
		if out, err = testkit.EncodeMessage(out, message); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// disconnectInPipeline sends a part of a pipeline and resets the connection.
func disconnectInPipeline(cluster *testkit.Cluster, conn net.Conn, part []byte, values []string) error {
	if _, err := conn.Write(part); err != nil {
		return err
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	closeConn(conn)
	for _, value := range values {
		if hosts := cluster.Runs(value); len(hosts) > 1 {
			return fmt.Errorf("%s ran more than once, at %v", value, hosts)
		}
	}
	return nil
}

// pipelineOutcome summarizes the responses to a pipeline.
type pipelineOutcome struct {
	completed int    // executes that succeeded
	failure   string // error response; "": none
}

// readPipeline reads the responses of a pipeline and of the startup before it.
func readPipeline(conn net.Conn) (pipelineOutcome, error) {
	var outcome pipelineOutcome
	for ready := 0; ready < 2; {
		message, err := testkit.ReadAnswer(conn)
		if errors.Is(err, io.EOF) {
			return outcome, fmt.Errorf("the connection ended after %d responses", outcome.completed)
		}
		if err != nil {
			return outcome, err
		}
		switch {
		case strings.HasPrefix(message, "C:"):
			if outcome.failure != "" {
				return outcome, fmt.Errorf("response %s after the error %s", message, outcome.failure)
			}
			outcome.completed++
		case strings.HasPrefix(message, "E:"):
			if outcome.failure != "" {
				return outcome, fmt.Errorf("second error %s after the error %s", message, outcome.failure)
			}
			outcome.failure = message
		case message == "Z":
			ready++
		}
	}
	return outcome, nil
}

// check compares the outcome with the values that ran at the hosts.
func (o pipelineOutcome) check(cluster *testkit.Cluster, values []string) error {
	if o.failure == "" && o.completed != executesInPipeline || o.failure != "" && o.completed >= executesInPipeline {
		return fmt.Errorf("%d responses and error %q for %d executes", o.completed, o.failure, executesInPipeline)
	}
	rejected := strings.HasPrefix(o.failure, "E:53300")
	for i, value := range values {
		hosts := cluster.Runs(value)
		switch {
		case i < o.completed && len(hosts) != 1,
			i == o.completed && (len(hosts) > 1 || rejected && len(hosts) > 0),
			i > o.completed && len(hosts) > 0:
			return fmt.Errorf("%s, at index %d with %d completed and error %q, ran at %v", value, i, o.completed, o.failure, hosts)
		}
	}
	return nil
}
