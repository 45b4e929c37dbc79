package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"merlinjunction/internal/frontend/management"
	"merlinjunction/internal/testkit"
)

// writeFleetConfig writes the operator's file of one gateway of a fleet, and returns its path.
func writeFleetConfig(t *testing.T, name, listen, seed string, keys ...string) string {
	t.Helper()
	var quoted []string
	for _, key := range keys {
		quoted = append(quoted, strconv.Quote(key))
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
%s`, name, listen, seed, strings.Join(quoted, ", "), testkit.UnreachableHostConfig)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// freeUDPAddress returns an address that was free when it was checked. Another process may take it before its use.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(conn)
	return conn.LocalAddr().String()
}

// startFleetGateway starts a gateway of a fleet, and kills it at the end of the test if it is still running.
func startFleetGateway(t *testing.T, path string) *program {
	t.Helper()
	cluster, err := testkit.NewCluster("unused")
	if err != nil {
		t.Fatal(err)
	}
	p := start(t, cluster, path, nil)
	t.Cleanup(func() {
		if !p.waited {
			_ = p.cmd.Process.Kill()
			<-p.log
			_ = p.cmd.Wait()
		}
	})
	return p
}

// waitForMembers runs the members command on a gateway until its view of the fleet meets a condition.
func waitForMembers(t *testing.T, p *program, what string, condition func(fleet *management.Fleet) bool) {
	t.Helper()
	var out string
	for range 200 {
		var err error
		if out, err = runCommand("members", "--json", "--address", p.management); err != nil {
			t.Fatalf("%s: %v: %s", what, err, out)
		}
		var fleet management.Fleet
		if err := json.Unmarshal([]byte(out), &fleet); err != nil {
			t.Fatal(err)
		}
		if condition(&fleet) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("%s: %s", what, out)
}

// Two gateways must find each other, stay connected while SIGHUP rotates their keys, and see that one leaves at SIGTERM.
// The members command must show each of these states.
func TestFleet(t *testing.T) {
	const one, two = "the first key, long enough", "the second key, long enough"
	addressA, addressB := freeUDPAddress(t), freeUDPAddress(t)
	pathA, pathB := writeFleetConfig(t, "a", addressA, addressA, one), writeFleetConfig(t, "b", addressB, addressA, one)
	a, b := startFleetGateway(t, pathA), startFleetGateway(t, pathB)
	alive := func(n int) func(*management.Fleet) bool {
		return func(fleet *management.Fleet) bool { return fleet.Alive == n && fleet.Suspect == 0 }
	}
	waitForMembers(t, a, "a sees both gateways", alive(2))
	waitForMembers(t, b, "b sees both gateways", alive(2))
	out, err := runCommand("members", "--address", a.management)
	summary, row := "fleet f, seen by a (fine): 2 alive", "b     alive"
	if err != nil || !strings.Contains(out, summary) || !strings.Contains(out, row) {
		t.Errorf("members: error %v, output %q, want one with %q and %q", err, out, summary, row)
	}
	// All gateways accept the new key before any uses it, and the old key is removed last, so no member is lost.
	for _, keys := range [][]string{{one, two}, {two, one}, {two}} {
		for i, p := range []*program{a, b} {
			path := []string{pathA, pathB}[i]
			name, address := []string{"a", "b"}[i], []string{addressA, addressB}[i]
			text, err := os.ReadFile(writeFleetConfig(t, name, address, addressA, keys...))
			if err != nil {
				t.Fatal(err)
			}
			// start has copied the file, and the process reads the copy.
			copied := p.cmd.Args[len(p.cmd.Args)-1]
			if filepath.Base(copied) != filepath.Base(path) {
				t.Fatalf("the process reads %s, want a copy of %s", copied, path)
			}
			if err := os.WriteFile(copied, text, 0o600); err != nil {
				t.Fatal(err)
			}
			_ = p.cmd.Process.Signal(syscall.SIGHUP)
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(1500 * time.Millisecond) // longer than failure detection takes
	waitForMembers(t, a, "a sees both gateways after the key rotation", alive(2))
	waitForMembers(t, b, "b sees both gateways after the key rotation", alive(2))
	watch := testCommand("members", "--watch", "--every", "100ms", "--address", a.management)
	stdout, err := watch.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := watch.Start(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stdout)
	waitForLine := func(want string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), want) {
				return
			}
		}
		t.Errorf("members --watch does not print %q", want)
	}
	waitForLine("member=b state=alive")
	b.Stop()
	waitForLine("member=b was=alive state=left")
	_ = watch.Process.Signal(syscall.SIGTERM)
	if err := watch.Wait(); err != nil {
		t.Errorf("members --watch: got error %v after SIGTERM, want none", err)
	}
	waitForMembers(t, a, "b has left", func(fleet *management.Fleet) bool { return fleet.Left == 1 })
	if err := b.Wait(); err != nil {
		t.Error(err)
	}
	a.Stop()
	if err := a.Wait(); err != nil {
		t.Error(err)
	}
}

// A gateway with a different key must not join the fleet, and must keep serving.
func TestGatewayWithDifferentKeyDoesNotJoin(t *testing.T) {
	address := freeUDPAddress(t)
	a := startFleetGateway(t, writeFleetConfig(t, "a", address, address, "the first key, long enough"))
	b := startFleetGateway(t, writeFleetConfig(t, "b", freeUDPAddress(t), address, "the second key, long enough"))
	time.Sleep(time.Second)
	waitForMembers(t, a, "a sees only itself", func(fleet *management.Fleet) bool {
		return fleet.Alive == 1 && len(fleet.Members) == 1
	})
	waitForMembers(t, b, "b has not joined", func(fleet *management.Fleet) bool { return fleet.Status == "joining" })
}

func TestMembersCommandFails(t *testing.T) {
	for _, args := range [][]string{
		{"members"},
		{"members", "--address", "127.0.0.1:1"},
		{"members", "--config", "nowhere.toml"},
		{"members", "--address", "127.0.0.1:1", "--every", "1ms"},
	} {
		checkCommandFails(t, args...)
	}
}
