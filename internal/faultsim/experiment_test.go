package faultsim

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/stubserver"
	"merlinjunction/membership"
)

const minimal = "name = \"x\"\nseconds = 10\n[fleet]\ngateways = 10\n"

// A wrong file is one line with the file, and where TOML tells it the line, and the key.
func TestWrongExperiments(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{minimal + "colour = 1\n", "x.toml:5: unknown key fleet.colour"},
		{minimal + "[network]\nlos = 0.1\n", "x.toml:6: unknown key network.los"},
		{minimal + "[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"1\"\n[[fault]]\nwhom = \"2\"\n", "unknown key fault.whom"},
		{minimal + "[expect]\nfirst_m = 1\n", "x.toml:6: unknown key expect.first_m"},
		{"name = 3\n", "x.toml:1: name"},
		{"name = \"x\nseconds = 1", "x.toml:1"},
		{strings.Replace(minimal, "10\n[", "-1\n[", 1), "seconds"},
		{minimal + "[network]\nloss = 2.0\n", "network.loss"},
		{minimal + "[network]\ndelay_ms = [3, 1]\n", "network.delay_ms"},
		{minimal + "[[fault]]\nat = 1\ndo = \"explode\"\nwho = \"1\"\n", "fault 1: do: unknown word \"explode\""},
		{minimal + "[[fault]]\nat = 1\ndo = \"pause\"\nwho = \"1\"\n", "fault 1: for"},
		{minimal + "[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"several\"\n", "fault 1: who"},
		{minimal + "[[fault]]\nat = 1\ndo = \"cut\"\nfor = 1\nfrom = true\nwho = \"1\"\n", "fault 1: from"},
		{strings.Replace(minimal, "name", "engines = [\"real\"]\nname", 1), "engines"},
	} {
		_, err := ParseExperiment("x.toml", c.text)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "x.toml") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", c.want, err)
		}
	}
	e, err := ParseExperiment("x.toml", minimal+"[[fault]]\nat = 1\ndo = \"kill\"\nwho = \"11\"\n")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := e.Plan(10, 1); err == nil || !strings.Contains(err.Error(), "fault 1") {
		t.Errorf("eleven of ten: %v", err)
	}
}

func TestPlan(t *testing.T) {
	e, err := ParseExperiment("x.toml", strings.Replace(minimal, "gateways = 10", "gateways = 10\nzones = 2", 1)+`
[[fault]]
at = 5
do = "start"
who = "down"
[[fault]]
at = 1
do = "kill"
who = "30%"
[[fault]]
at = 2
do = "cut"
who = "zone 1"
to = "g0"
oneway = true
for = 1
`)
	if err != nil {
		t.Fatal(err)
	}
	a, err := e.Plan(10, 7)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := e.Plan(10, 7)
	c, _ := e.Plan(10, 8)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, c) {
		t.Error("one seed gives one plan, another another")
	}
	killed, started := map[int]bool{}, map[int]bool{}
	for i, s := range a {
		if i > 0 && s.At < a[i-1].At {
			t.Errorf("step %d comes too early", i)
		}
		switch s.Do {
		case Kill:
			killed[s.Who] = true
		case Start:
			started[s.Who] = true
		case Cut:
			if s.Who%2 != 1 || killed[s.Who] || !reflect.DeepEqual(s.To, []int{0}) {
				t.Errorf("a cut from %d to %v", s.Who, s.To)
			}
		}
	}
	if len(killed) != 3 || !reflect.DeepEqual(killed, started) {
		t.Errorf("killed %v, started %v", killed, started)
	}
}

func TestNetwork(t *testing.T) {
	n := NewNetwork(1, &NetworkConditions{DelayMs: []float64{1, 2}})
	rng := rand.New(rand.NewPCG(1, 1))
	lost := func() (lost, twice int) {
		for range 1000 {
			first, second := n.Send(rng, 1, 2)
			if first < 0 {
				lost++
			} else if first < 1 {
				t.Fatalf("it took %v ms", first)
			}
			if second >= 0 {
				twice++
			}
		}
		return
	}
	if l, d := lost(); l > 0 || d > 0 {
		t.Errorf("%d lost, %d twice in good weather", l, d)
	}
	bad := &NetworkConditions{Loss: 0.3, Duplicate: 0.5, DelayMs: []float64{10, 20}}
	n.Apply(&Step{Do: ChangeConditions, Conditions: bad})
	if l, d := lost(); l < 250 || l > 350 || d < 300 || d > 400 {
		t.Errorf("%d lost, %d twice", l, d)
	}
	n.Apply(&Step{Do: ChangeConditions, Conditions: bad, Undo: true})
	// Two cuts of one link: it is whole again when both are taken back. The way back was never cut.
	cut, back := &Step{Do: Cut, Who: 1, To: []int{2}}, &Step{Do: Cut, Who: 1, To: []int{2}, Undo: true}
	for i, s := range []*Step{cut, cut, back, back} {
		n.Apply(s)
		if got := n.IsCut(1, 2); got != (i < 3) || n.IsCut(2, 1) {
			t.Errorf("after step %d: cut %v", i, got)
		}
	}
}

// The truth counts what is wrong, what is false and what is excused.
func TestTruth(t *testing.T) {
	n := NewNetwork(1, &NetworkConditions{DelayMs: []float64{1, 2}})
	tr := NewOracle(4, n)
	for i := range 4 {
		tr.Apply(&Step{Do: Start, Who: i}, -5000)
	}
	for i := range 4 {
		for j := range 4 {
			tr.ObserveBelief(i, j, membership.Alive, "joined", -4000)
		}
	}
	if tr.wrong != 0 {
		t.Fatalf("%d beliefs are wrong", tr.wrong)
	}
	tr.Apply(&Step{Do: Kill, Who: 3}, 1000)
	tr.ObserveBelief(0, 3, membership.Suspect, "", 1400)
	tr.ObserveBelief(0, 3, membership.Dead, "", 2000)
	tr.ObserveBelief(1, 3, membership.Dead, "", 2100)
	if tr.wrong != 1 {
		t.Errorf("%d beliefs are wrong, one is", tr.wrong)
	}
	tr.ObserveBelief(2, 3, membership.Unreachable, "", 2500)
	f := tr.Measurements()
	if f["suspect_ms"] != 400 || f["first_ms"] != 1000 || f["everyone_ms"] != 1500 || f["agree_ms"] != 1500 || f["false_deaths"] != 0 {
		t.Errorf("%v", f)
	}
	tr.ObserveBelief(0, 1, membership.Suspect, "no answer here", 6000)
	tr.ObserveBelief(0, 1, membership.Dead, "", 6100) // false
	if tr.FalseDeaths != 1 || tr.FalseDoubts != 1 {
		t.Errorf("%d false deaths, %d false doubts", tr.FalseDeaths, tr.FalseDoubts)
	}
	tr.ObserveBelief(0, 1, membership.Alive, "", 6200)
	tr.Apply(&Step{Do: Pause, Who: 2}, 7000)
	tr.ObserveBelief(0, 2, membership.Dead, "", 8500) // it is stopped: not false
	tr.Apply(&Step{Do: Resume, Who: 2}, 9000)
	if tr.wrong != 1 {
		t.Errorf("after its return %d beliefs are wrong, one is", tr.wrong)
	}
	tr.ObserveBelief(2, 0, membership.Suspect, "no answer here", 9200)
	tr.ObserveBelief(0, 2, membership.Alive, "", 9700)
	f = tr.Measurements()
	if f["false_deaths"] != 1 || f["back_ms"] != 700 || f["return_blames"] != 1 || f["flaps"] != 1 {
		t.Errorf("%v", f)
	}
	if v := (&Expect{FalseDeaths: new(float64), Deaf: []int{0, 0}}).Judge(f); v[0].OK || !v[1].OK {
		t.Errorf("%+v", v)
	}
}

// What one engine does not measure is said, not passed over.
func TestVerdictNotMeasured(t *testing.T) {
	v := (&Expect{Lost: new(float64)}).Judge(Measurements{})
	if v[0].Asked || !strings.Contains(v[0].Text, "not measured by this engine") {
		t.Errorf("%+v", v)
	}
}

// The arrivals are drawn ahead, at the rate asked for, from the seed.
func TestDraw(t *testing.T) {
	l := &Load{Rate: 200, Writes: 0.25}
	a, b := l.draw(50, 3), l.draw(50, 3)
	if !reflect.DeepEqual(a, b) || len(a) < 9500 || len(a) > 10500 {
		t.Fatalf("%d arrivals", len(a))
	}
	writes := 0
	for i, x := range a {
		if x.write {
			writes++
		}
		if i > 0 && x.at < a[i-1].at {
			t.Fatal("out of order")
		}
	}
	if share := float64(writes) / float64(len(a)); share < 0.22 || share > 0.28 {
		t.Errorf("%v are writes", share)
	}
}

// A report holds its figures, "never" and "nothing to measure" among them, and compares with another.
func TestReport(t *testing.T) {
	a, b := filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	for dir, seed := range map[string]uint64{a: 1, b: 2} {
		r, err := Emulate(experiment(t, "crash"), Options{Seed: seed, Gateways: 20})
		if err != nil {
			t.Fatal(err)
		}
		if err := (&Report{Title: filepath.Base(dir), Results: []*Result{r}}).Write(dir); err != nil {
			t.Fatal(err)
		}
		got, err := ReadReport(dir)
		if err != nil {
			t.Fatal(err)
		}
		if x, y := got.Results[0].Measurements["first_ms"], r.Measurements["first_ms"]; x != y || len(got.Results[0].Measurements) != len(r.Measurements) {
			t.Errorf("first_ms %v came back as %v", y, x)
		}
		page, err := os.ReadFile(filepath.Join(dir, pageName))
		if err != nil || strings.Count(string(page), "<svg") != 4 || !strings.Contains(string(page), "first_ms") {
			t.Errorf("the page has %d plots, %v", strings.Count(string(page), "<svg"), err)
		}
	}
	rows, err := Compare(a, b, filepath.Join(t.TempDir(), "c"))
	if err != nil || len(rows) == 0 || len(rows[0].Values) != 2 {
		t.Errorf("%v, %v", rows, err)
	}
	if _, err := Compare(a, t.TempDir(), ""); err == nil {
		t.Error("a folder without a report is compared")
	}
}

// A stall of a host shows in the latency in full: it counts from the intended time, and nobody waits for an answer before
// the next request is sent.
func TestLatencyFromIntendedTime(t *testing.T) {
	d, err := newDatabases(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	l, err := newHostRelay(func() string { return d.hosts[0].listener.Address() })
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	c := newClient(func(int) (target, bool) {
		return target{address: l.addr(), process: "x", disturbed: func(time.Time) bool { return false }}, true
	})
	var list []arrival
	for i := range 100 {
		list = append(list, arrival{at: time.Duration(i) * 10 * time.Millisecond, session: i})
	}
	go func() {
		time.Sleep(300 * time.Millisecond)
		l.setCut(true)
		time.Sleep(400 * time.Millisecond)
		l.mutex.Lock()
		close(l.open) // heals without a reset
		l.mutex.Unlock()
	}()
	c.play(time.Now(), list, make(chan struct{}))
	y := &c.tally
	if y.Sent != 100 || y.Served != 100 {
		t.Fatalf("%+v", y)
	}
	// 40 of 100 were due in the stall and waited 200 ms on average: the 80th percentile is past the middle of it.
	if p := y.Latency.ValueAtQuantile(80) / 1000; p < 100 || y.Latency.ValueAtQuantile(99)/1000 < 300 {
		t.Errorf("80 %% within %d ms, 99 %% within %d", p, y.Latency.ValueAtQuantile(99)/1000)
	}
}

// The stub hosts count statements and broken rules.
func TestBooks(t *testing.T) {
	d, err := newDatabases(2, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	ask := func(host int, text string) string {
		s := &databaseSession{host: d.hosts[host]}
		s.statement.ReadQuery(append([]byte(text), 0))
		s.execute(false)
		return string(s.out)
	}
	write := "INSERT INTO setpoints VALUES ('s', 'k', '5')"
	if out := ask(1, write); !strings.Contains(out, "25006") {
		t.Errorf("a replica takes a write: %q", out)
	}
	ask(0, write)
	read := "SELECT v FROM setpoints WHERE greenhouse = 's'"
	if a, b := ask(0, read), ask(1, read); !strings.Contains(a, "\x015") || !strings.Contains(b, "\x010") {
		t.Errorf("the primary says %q, the replica behind it %q", a, b)
	}
	ask(0, write)
	if d.counters.Doubled != 0 {
		t.Error("a repeat in its window counts as doubled")
	}
	d.keysAt["k"] = time.Now().Add(-dedupWindow - time.Millisecond)
	ask(0, write)
	d.hosts[1].drainAt = time.Now().Add(-drainGrace - 2*drainSlack)
	ask(1, read)
	if b := d.counters; b.Doubled != 1 || b.Drained != 1 || b.Served["h0"] != 4 {
		t.Errorf("%+v", b)
	}
	d.hosts[0].startedAt = time.Now()
	for range 400 {
		ask(0, read)
	}
	if d.counters.Cold == 0 {
		t.Error("400 statements in a moment push no cold host over")
	}
}

// A primary tells a position in whole milliseconds. Truncated instead of rounded up it would be less than the commit that it
// stands for, and a replica that has applied just so much would show a session less than it has written.
func TestToldPositionCoversTheCommit(t *testing.T) {
	d, err := newDatabases(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer d.close()
	here, there := net.Pipe()
	defer stubserver.CloseQuietly(there)
	go func() { _, _ = io.Copy(io.Discard, there) }()
	for i := range 50 {
		insert := stubserver.Statement{Text: "INSERT", Values: []string{"s", fmt.Sprint("k", i), "1"}}
		s := &databaseSession{host: d.hosts[0], conn: here, statement: insert}
		s.execute(true)
		told := time.UnixMilli(s.position().UnixMilli())
		if commit := d.rows["s"][i].committedAt; told.Before(commit) {
			t.Fatalf("commit %d is told as %v before it was made", i, commit.Sub(told))
		}
	}
}
