// Package server starts the program and stops it: configuration, listeners, the drain at SIGTERM.
package server

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/netip"
	"os"
	"strconv"

	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/protocol/simulator"
	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Config is what the program is told at its start, whichever front it serves.
type Config struct {
	Name, Listen, Discovery             string
	ListenFD                            int    // descriptor of the clients' listener; 0: none was handed down
	StateDir                            string // for what the processes of one gateway share
	Management                          string // address of the management calls; "": none
	Seed                                uint64
	MemoryMB, Sockets                   int
	Settings                            routing.Settings
	ConnectTimeoutMs, HostIdleTimeoutMs float64
	KnownHosts                          []proxy.Host
	KnownRevision                       int64           // its version
	Operator                            *OperatorConfig // nil: the platform's front
	Path                                string          // of the file, to be read again at SIGHUP
	FileDiscovery                       string          // discovery as the file names it, whatever the environment says
}

// What is taken where a configuration says nothing.
const (
	defaultMemoryMB  = 192
	defaultSockets   = 1024
	defaultConnectMs = 250.0
	defaultIdleMs    = 30_000.0
)

// platformFile is the platform's JSON.
type platformFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.Document `json:"known"`
	Settings json.RawMessage     `json:"settings"`
}

// LoadPlatform reads the platform's configuration; variables of the environment stand above it.
func LoadPlatform(path string, env func(string) string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	var f platformFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %w", err)
	}
	watched := f.Discovery
	for key, value := range map[string]*string{"LB_NAME": &f.Name, "LB_LISTEN": &f.Listen, "LB_DISCOVERY": &f.Discovery,
		"LB_MANAGEMENT": &f.Management} {
		if v := env(key); v != "" {
			*value = v
		}
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Seed: seedOf(f.Seed),
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Path: path, FileDiscovery: watched,
		KnownRevision: discovery.NoRevision,
	}
	if c.Settings, err = simulator.DecodeSettings(string(f.Settings)); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var more struct {
		Permissions struct{ ConnIdleMs, ConnectTimeoutMs float64 }
	}
	if err := json.Unmarshal(f.Settings, &more); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.ConnectTimeoutMs, c.HostIdleTimeoutMs = more.Permissions.ConnectTimeoutMs, more.Permissions.ConnIdleMs
	if f.Known != nil {
		if c.KnownHosts, err = f.Known.Hosts(); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
		if f.Known.Complete {
			c.KnownRevision = f.Known.Revision
		}
	}
	for _, addr := range []string{c.Discovery, c.FileDiscovery} {
		if err := checkAddr("discovery", addr); err != nil && (addr != "" || c.Discovery == "") {
			return nil, err
		}
	}
	return c, c.complete()
}

// Reload reads the configuration anew from the file that it came from. Where discovery is, the file says alone: the
// environment is still that of the start.
func (c *Config) Reload() (*Config, error) {
	if c.Operator != nil {
		return LoadOperator(c.Path)
	}
	return LoadPlatform(c.Path, func(key string) string {
		if key == "LB_DISCOVERY" {
			return ""
		}
		return os.Getenv(key)
	})
}

// complete fills in defaults and checks what all configurations share.
func (c *Config) complete() error {
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	if c.ConnectTimeoutMs <= 0 {
		c.ConnectTimeoutMs = defaultConnectMs
	}
	if c.HostIdleTimeoutMs <= 0 {
		c.HostIdleTimeoutMs = defaultIdleMs
	}
	if c.Sockets < 64 {
		return fmt.Errorf("limits.sockets: %d is too few, 64 are needed", c.Sockets)
	}
	if _, err := routing.New(c.Settings, 1); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Management != "" {
		if err := checkAddr("management", c.Management); err != nil {
			return err
		}
	}
	return checkAddr("listen", c.Listen)
}

func checkAddr(key, addr string) error {
	_, err := parseAddr(key, addr)
	return err
}

// parseAddr reads an address; the error names the key.
func parseAddr(key, addr string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return a, fmt.Errorf("%s: %q is no address and port", key, addr)
	}
	return a, nil
}

// seedOf reads a seed of hexadecimal digits, or makes one from whatever else stands there.
func seedOf(text string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}
