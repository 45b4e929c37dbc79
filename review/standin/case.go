package standin

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldntDo = 2
)

// Case is a run of a case: the record, the hosts and the gateway.
type Case struct {
	*Record
	Trouble bool // false with TROUBLE=0: the same run without the disruption
	Start   time.Time
	Gateway *Gateway

	dir string
}

// Main runs a case and ends the program with its exit code. play returns whether the rule was broken. The program has two
// arguments: the file of the record, and a temporary folder that the caller removes.
func Main(play func(*Case) (bool, error)) {
	runtime.LockOSThread() // the gateway ends with the thread that started it, if this program is killed
	flag.Parse()
	os.Exit(run(flag.Arg(0), flag.Arg(1), play))
}

func run(recordPath, dir string, play func(*Case) (bool, error)) int {
	record, err := NewRecord(recordPath)
	if err != nil {
		fmt.Println(err)
		return couldntDo
	}
	defer record.Close()
	c := &Case{Record: record, Trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		record.Summary("interrupted")
		c.end()
		record.Close()
		os.Exit(couldntDo)
	}()
	c.Summary("disruption: %v", c.Trouble)
	wasBroken, err := play(c)
	c.end()
	switch {
	case err != nil:
		c.Summary("the case could not run: %v", err)
		return couldntDo
	case wasBroken:
		c.Summary("RULE BROKEN")
		return broken
	}
	c.Summary("rule held")
	return held
}

// Begin opens the hosts, starts discovery and the gateway, and sets the start of the case. settings and memoryMB are those
// of the gateway's configuration.
func (c *Case) Begin(hosts []*Host, memoryMB int, settings Object) error {
	for _, host := range hosts {
		if err := host.Open(); err != nil {
			return err
		}
	}
	family := settings["FamilyInfo"].(Object)
	list := List(hosts, family["ListRole"] != "silent")
	address, err := ServeDiscovery(list)
	if err != nil {
		return err
	}
	config := Object{
		"name": "n1", "discovery": address, "seed": "8c1f30d27a5be964",
		"limits": Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"known":  list, "settings": settings,
	}
	c.Gateway, err = startGateway(c.dir, config)
	c.Start = time.Now()
	return err
}

// Since returns the time since the start of the case.
func (c *Case) Since() time.Duration { return time.Since(c.Start) }

// WaitUntil waits until a time after the start of the case.
func (c *Case) WaitUntil(after time.Duration) { time.Sleep(time.Until(c.Start.Add(after))) }

// end ends the gateway.
func (c *Case) end() {
	if c.Gateway != nil {
		c.Gateway.Kill()
		_ = os.Remove(pidPath(c.dir))
	}
}

// pidPath returns the path of the file with the gateway's process ID, which is there while the gateway may run.
func pidPath(dir string) string { return filepath.Join(dir, "gateway.pid") }

func writePID(dir string, pid int) error {
	return os.WriteFile(pidPath(dir), []byte(strconv.Itoa(pid)), 0o600)
}
