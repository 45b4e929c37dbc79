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
	Management string // address of the management listener; "": none
	Discovery  string // address of the discovery service; "": none
	// FileDiscovery is the discovery address in the file. Discovery differs from it if the environment overrides it. A
	// reload applies a new address only if FileDiscovery has changed.
	FileDiscovery string
	ConfigPath    string // path of the configuration file, which is read again at SIGHUP

	ListenFD int    // descriptor of the inherited listener; 0: none
	StateDir string // directory of the state that sibling processes share; used only with an inherited listener

	Seed              uint64 // seed of all random choices
	MemoryMB          int    // memory limit
	Sockets           int    // descriptors that the process may use
	Settings          routing.Settings
	ConnectTimeoutMs  float64
	HostIdleTimeoutMs float64 // time after which an unused connection to a host is closed

	KnownHosts    []proxy.Host // hosts that are known before discovery responds
	KnownRevision int64        // revision of the endpoint list that holds KnownHosts; discovery.NoRevision: unknown

	Operator *OperatorConfig // configuration of the extended frontend; nil: the platform's frontend is used
}

// Defaults of optional settings, and lower bounds.
const (
	defaultMemoryMB         = 192
	defaultSockets          = 1024
	defaultConnectTimeoutMs = 250.0
	defaultHostIdleMs       = 30_000.0
	minSockets              = 64
)

// Reload reads the configuration file again. It ignores the discovery address in the environment, because the
// environment is still that of the process's start. If the platform's file has no discovery address and only the
// environment has one, each Reload therefore fails with a *ConfigError.
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

// memoryBytes returns the memory limit of the gateway.
func (c *Config) memoryBytes() int { return c.MemoryMB << 20 }

// applyDefaults sets the default of each optional setting that the configuration leaves out.
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

// validate checks the settings that both frontends use. The error is a *ConfigError.
func (c *Config) validate() error {
	if c.Sockets < minSockets {
		return invalidKey("limits.sockets", "%d is too few, expected at least %d", c.Sockets, minSockets)
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

// checkAddress checks that the value of a key is an IP address and port. The error is a *ConfigError.
func checkAddress(key, address string) error {
	_, err := parseAddress(key, address)
	return err
}

// parseAddress parses the value of a key, which must be an IP address and port. The error is a *ConfigError.
func parseAddress(key, address string) (netip.AddrPort, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return parsed, invalidKey(key, "%q is not an IP address and port", address)
	}
	return parsed, nil
}
