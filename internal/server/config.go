package server

import (
	"net/netip"
	"os"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// Config is the configuration of a gateway, for either frontend.
type Config struct {
	Name       string
	Listen     string // address of the clients' listener
	Management string // address of the management calls; "": none
	Discovery  string // address of discovery; "": none
	// FileDiscovery is the address of discovery in the file. Discovery is another one where the environment overrides
	// it. A reload applies a new address only where FileDiscovery has changed.
	FileDiscovery string
	ConfigPath    string // of the file, which is read again at SIGHUP

	ListenFD int    // descriptor of the inherited listener; 0: none
	StateDir string // directory of the state that sibling processes share

	Seed              uint64 // of all random choices
	MemoryMB          int
	Sockets           int // descriptors that the process may use
	Settings          routing.Settings
	ConnectTimeoutMs  float64
	HostIdleTimeoutMs float64 // after which an unused connection to a host is closed

	KnownHosts    []proxy.Host // known before discovery responds
	KnownRevision int64        // of the endpoint list that they are from; discovery.NoRevision: none

	Operator *OperatorConfig // of the extended frontend; nil: the platform's frontend
}

// Defaults of settings that a configuration may leave out, and bounds.
const (
	defaultMemoryMB         = 192
	defaultSockets          = 1024
	defaultConnectTimeoutMs = 250.0
	defaultHostIdleMs       = 30_000.0
	minSockets              = 64
)

// Reload reads the file of the configuration again. For discovery's address it ignores the environment, which is still
// that of the start. So where only the environment names discovery, on the platform, Reload finds an empty address and
// fails with a *ConfigError each time.
func (c *Config) Reload() (*Config, error) {
	if c.Operator != nil {
		return LoadOperator(c.ConfigPath)
	}
	return LoadPlatform(c.ConfigPath, func(key string) string {
		if key == discoveryVariable {
			return ""
		}
		return os.Getenv(key)
	})
}

// memoryBytes is the memory limit of the gateway.
func (c *Config) memoryBytes() int { return c.MemoryMB << 20 }

// applyDefaults fills in what a configuration has left out.
func (c *Config) applyDefaults() {
	if c.MemoryMB <= 0 {
		c.MemoryMB = defaultMemoryMB
	}
	if c.Sockets <= 0 {
		c.Sockets = defaultSockets
	}
	if c.ConnectTimeoutMs <= 0 {
		c.ConnectTimeoutMs = defaultConnectTimeoutMs
	}
	if c.HostIdleTimeoutMs <= 0 {
		c.HostIdleTimeoutMs = defaultHostIdleMs
	}
}

// validate checks what the configurations of both frontends share. The error is a *ConfigError.
func (c *Config) validate() error {
	if c.Sockets < minSockets {
		return invalidKey("limits.sockets", "%d is too few, %d are needed", c.Sockets, minSockets)
	}
	if _, err := routing.New(c.Settings, 1); err != nil {
		return &ConfigError{Key: "settings", Err: err}
	}
	if c.Management != "" {
		if err := checkAddress("management", c.Management); err != nil {
			return err
		}
	}
	return checkAddress("listen", c.Listen)
}

// checkAddress checks the address and port of a key. The error is a *ConfigError.
func checkAddress(key, address string) error {
	_, err := parseAddress(key, address)
	return err
}

// parseAddress reads the address and port of a key. The error is a *ConfigError.
func parseAddress(key, address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return parsed, invalidKey(key, "%q is no address and port", address)
	}
	return parsed, nil
}
