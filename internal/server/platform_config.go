package server

import (
	"encoding/json"
	"hash/fnv"
	"os"
	"strconv"

	"merlinjunction/internal/protocol/discovery"
	"merlinjunction/internal/protocol/simulator"
)

// ConfigVariable is the environment variable that names the platform's configuration file.
const ConfigVariable = "LB_CONFIG"

// Environment variables of the platform that override a key of the file.
const (
	nameVariable       = "LB_NAME"
	listenVariable     = "LB_LISTEN"
	discoveryVariable  = "LB_DISCOVERY"
	managementVariable = "LB_MANAGEMENT"
)

// platformFile is the platform's JSON configuration.
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
	KnownList *discovery.Document `json:"known"`
	Settings  json.RawMessage     `json:"settings"`
}

// connectionSettings are the platform's settings for connections to hosts. Package simulator decodes the other settings.
type connectionSettings struct {
	Permissions struct {
		HostIdleTimeoutMs float64 `json:"ConnIdleMs"`
		ConnectTimeoutMs  float64 `json:"ConnectTimeoutMs"`
	} `json:"Permissions"`
}

// LoadPlatform loads the platform's configuration. Environment variables override keys of the file. The error is a
// *ConfigError.
func LoadPlatform(path string, env func(string) string) (*Config, error) {
	file, err := readPlatformFile(path)
	if err != nil {
		return nil, &ConfigError{Key: ConfigVariable, Err: err}
	}
	fileDiscovery := file.Discovery
	file.applyEnvironment(env)
	config := &Config{
		Name:          file.Name,
		Listen:        file.Listen,
		Discovery:     file.Discovery,
		FileDiscovery: fileDiscovery,
		Management:    file.Management,
		Seed:          parseSeed(file.Seed),
		MemoryMB:      file.Limits.MemoryMB,
		Sockets:       file.Limits.Sockets,
		ConfigPath:    path,
		KnownRevision: discovery.NoRevision,
	}
	if err := file.applySettings(config); err != nil {
		return nil, &ConfigError{Key: "settings", Err: err}
	}
	if err := file.applyKnownList(config); err != nil {
		return nil, &ConfigError{Key: "known", Err: err}
	}
	for _, address := range []string{config.Discovery, config.FileDiscovery} {
		if address == "" && config.Discovery != "" { // only the environment has a discovery address
			continue
		}
		if err := checkAddress("discovery", address); err != nil {
			return nil, err
		}
	}
	config.applyDefaults()
	return config, config.validate()
}

// readPlatformFile reads and decodes the file. The error is that of the file system or the JSON decoder.
func readPlatformFile(path string) (*platformFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file := &platformFile{}
	return file, json.Unmarshal(text, file)
}

// applyEnvironment overrides the keys of the file for which the environment has a value.
func (f *platformFile) applyEnvironment(env func(string) string) {
	for _, override := range []struct {
		variable string
		value    *string
	}{
		{nameVariable, &f.Name},
		{listenVariable, &f.Listen},
		{discoveryVariable, &f.Discovery},
		{managementVariable, &f.Management},
	} {
		if value := env(override.variable); value != "" {
			*override.value = value
		}
	}
}

// applySettings decodes the platform's settings.
func (f *platformFile) applySettings(config *Config) (err error) {
	if config.Settings, err = simulator.DecodeSettings(string(f.Settings)); err != nil {
		return err
	}
	var connections connectionSettings
	if err := json.Unmarshal(f.Settings, &connections); err != nil {
		return err
	}
	config.ConnectTimeoutMs = connections.Permissions.ConnectTimeoutMs
	config.HostIdleTimeoutMs = connections.Permissions.HostIdleTimeoutMs
	return nil
}

// applyKnownList applies the endpoint list in the file, which the platform knew when it wrote the file.
func (f *platformFile) applyKnownList(config *Config) (err error) {
	if f.KnownList == nil {
		return nil
	}
	if config.KnownHosts, err = f.KnownList.Hosts(); err != nil {
		return err
	}
	if f.KnownList.Complete {
		config.KnownRevision = f.KnownList.Revision
	}
	return nil
}

// parseSeed parses a seed of hexadecimal digits, and hashes any other text. An empty text hashes to one constant, so all
// gateways whose file has no seed use the same jitter.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // never fails
	return hash.Sum64()
}
