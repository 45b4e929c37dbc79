package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/testkit"
)

// fleetConfig writes the file of one gateway.
func fleetConfig(t *testing.T, name, listen, seed string, keys ...string) string {
	t.Helper()
	for i, k := range keys {
		keys[i] = fmt.Sprintf("%q", k)
	}
	path := filepath.Join(t.TempDir(), name+".toml")
	text := fmt.Sprintf(`name = %q
listen = "127.0.0.1:0"
management = "127.0.0.1:0"
describe_class = "read"
[fleet]
name = "f"
listen = %q
seeds = [%q]
keys = [%s]
%s`, name, listen, seed, strings.Join(keys, ", "), testkit.OneHost)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeUDP is an address that was free a moment ago.
func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

func startFleet(t *testing.T, path string) *program {
	t.Helper()
	c, err := testkit.NewCluster("unused")
	if err != nil {
		t.Fatal(err)
	}
	p := startWith(t, c, path, nil)
	t.Cleanup(func() {
		if !p.over {
			_ = p.cmd.Process.Kill()
			<-p.log
			_ = p.cmd.Wait()
		}
	})
	return p
}

// membersUntil asks a gateway by the command until a condition holds.
func membersUntil(t *testing.T, p *program, what string, ok func(f *management.Fleet) bool) {
	t.Helper()
	var out string
	for range 200 {
		var err error
		if out, err = command("members", "--json", "--address", p.manage); err != nil {
			t.Fatalf("%s: %v: %s", what, err, out)
		}
		var f management.Fleet
		if err := json.Unmarshal([]byte(out), &f); err != nil {
			t.Fatal(err)
		}
		if ok(&f) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: %s", what, out)
}

// Two gateways find each other; keys change in service at SIGHUP; SIGTERM is a goodbye; the commands show it.
func TestFleet(t *testing.T) {
	const one, two = "the first key, long enough", "the second key, long enough"
	addr, other := freeUDP(t), freeUDP(t)
	pathA, pathB := fleetConfig(t, "a", addr, addr, one), fleetConfig(t, "b", other, addr, one)
	a, b := startFleet(t, pathA), startFleet(t, pathB)
	alive := func(n int) func(*management.Fleet) bool {
		return func(f *management.Fleet) bool { return f.Alive == n && f.Suspect == 0 }
	}
	membersUntil(t, a, "they meet", alive(2))
	membersUntil(t, b, "they meet", alive(2))
	out, err := command("members", "--address", a.manage)
	if err != nil || !strings.Contains(out, "fleet f, seen by a (fine): 2 alive") || !strings.Contains(out, "b     alive") {
		t.Errorf("members: %v: %s", err, out)
	}
	// The new key is taken in by all before any seals under it, and the old one dropped last: nobody is lost.
	for _, keys := range [][]string{{one, two}, {two, one}, {two}} {
		for i, p := range []*program{a, b} {
			path := []string{pathA, pathB}[i]
			name, at := []string{"a", "b"}[i], []string{addr, other}[i]
			text, err := os.ReadFile(fleetConfig(t, name, at, addr, append([]string(nil), keys...)...))
			if err != nil {
				t.Fatal(err)
			}
			// startWith has copied the file: the copy is what the process reads.
			copied := p.cmd.Args[len(p.cmd.Args)-1]
			if filepath.Base(copied) != filepath.Base(path) {
				t.Fatalf("the process reads %s", copied)
			}
			if err := os.WriteFile(copied, text, 0o600); err != nil {
				t.Fatal(err)
			}
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond) // longer than it takes to lose sight of each other
	membersUntil(t, a, "after the keys changed", alive(2))
	membersUntil(t, b, "after the keys changed", alive(2))
	watch := testCommand("members", "--watch", "--every", "100ms", "--address", a.manage)
	lines, err := watch.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Start(); err != nil {
		t.Fatal(err)
	}
	said := bufio.NewScanner(lines)
	sayUntil := func(what string) {
		t.Helper()
		for said.Scan() {
			if strings.Contains(said.Text(), what) {
				return
			}
		}
		t.Errorf("the watch does not say %q", what)
	}
	sayUntil("member=b state=alive")
	b.Stop()
	sayUntil("member=b was=alive state=left")
	_ = watch.Process.Signal(syscall.SIGTERM)
	if err := watch.Wait(); err != nil {
		t.Errorf("the watch ends with %v", err)
	}
	membersUntil(t, a, "the goodbye", func(f *management.Fleet) bool { return f.Left == 1 })
	if err := b.Wait(); err != nil {
		t.Error(err)
	}
	a.Stop()
	if err := a.Wait(); err != nil {
		t.Error(err)
	}
}

// A wrong key keeps a process out; what it sends is counted and it goes on serving.
func TestFleetOfAnotherKey(t *testing.T) {
	addr := freeUDP(t)
	a := startFleet(t, fleetConfig(t, "a", addr, addr, "the first key, long enough"))
	b := startFleet(t, fleetConfig(t, "b", freeUDP(t), addr, "the second key, long enough"))
	time.Sleep(time.Second)
	membersUntil(t, a, "alone", func(f *management.Fleet) bool { return f.Alive == 1 && len(f.Members) == 1 })
	membersUntil(t, b, "kept out", func(f *management.Fleet) bool { return f.Status == "joining" })
}

func TestMembersCommandFails(t *testing.T) {
	for _, args := range [][]string{{"members"}, {"members", "--address", "127.0.0.1:1"}, {"members", "--config", "nowhere.toml"},
		{"members", "--address", "127.0.0.1:1", "--every", "1ms"}} {
		if out, err := command(args...); err == nil || strings.Count(out, "\n") != 1 || !strings.HasPrefix(out, "merlinjunction: ") {
			t.Errorf("%v: %q, %v", args, out, err)
		}
	}
}
