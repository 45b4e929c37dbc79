package server

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// An invalid configuration must be reported in one line that names the key.
func TestInvalidConfigurationNamesKey(t *testing.T) {
	t.Run("operator", testInvalidOperatorFile)
	t.Run("platform", testInvalidPlatformFile)
}

func testInvalidOperatorFile(t *testing.T) {
	valid := operatorText(t, "127.0.0.1:1")
	if _, err := loadOperatorText(t, valid); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		old, new, want string
		key            string // key of the ConfigError; "": the error of the frontend's rules is no ConfigError
	}{
		{`need = "session"`, `need = "sesion"`, "class 2", `class 2 ("own-settings")`},
		{`class = "own-settings"`, `class = "own"`, "statement 2: class", "statement 2: class"},
		{`checks = "none"`, `checks = "some"`, "rules.checks", "rules.checks"},
		{`gateways = 1`, `gatewys = 1`, "rules.gatewys", "rules.gatewys"},
		{`describe_class = "describe"`, `describe_class = "own-settings"`, "describe_class", ""},
		{`describe_class = "describe"`, `describe_class = "nowhere"`, "describe_class: no class", "describe_class"},
		{`key_param = 2`, `key_param = -2`, "key_param", ""},
		{`drain_grace_ms = 2000`, `drain_grace_ms = nan`, "rules.drain_grace_ms", "rules.drain_grace_ms"},
		{`deadline_ms = 600`, `deadline_ms = -600`, "deadline_ms", `class 2 ("own-settings"): deadline_ms`},
		{`max_attempts = 4`, `max_attempts = 0`, "MaxAttempts", "settings"},
		{`http = "127.0.0.1:0"`, `http = "everywhere"`, "health.http", "health.http"},
		{`(?is)^select`, `(?is)^(select`, "pattern", "statement 2: pattern"},
	} {
		t.Run(c.new, func(t *testing.T) {
			text := strings.Replace(valid, c.old, c.new, 1)
			if text == valid {
				t.Fatalf("the valid file does not contain %q", c.old)
			}
			_, err := loadOperatorText(t, text)
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %v, want one line that contains %q", err, c.want)
			}
			var configError *ConfigError
			if found := errors.As(err, &configError); found != (c.key != "") || found && configError.Key != c.key {
				t.Errorf("error %v does not have the key %q", err, c.key)
			}
		})
	}
}

func testInvalidPlatformFile(t *testing.T) {
	for key, value := range map[string]any{"listen": "here", "discovery": "x", "settings": map[string]any{}} {
		t.Run(key, func(t *testing.T) {
			var file map[string]any
			if err := json.Unmarshal([]byte(platformText(t, "127.0.0.1:1")), &file); err != nil {
				t.Fatal(err)
			}
			file[key] = value
			text, err := json.Marshal(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = loadPlatformText(t, string(text))
			if err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("got error %v, want one that contains %q", err, key)
			}
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Key != key {
				t.Errorf("error %v does not have the key %q", err, key)
			}
		})
	}
}

// Operators see these messages, so their text is fixed here.
func TestConfigErrorMessage(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{invalidKey("fleet.name", "is missing"), "fleet.name: is missing"},
		{
			checkNumbers("rules.", []numericSetting{{"cold_ms", -1}}),
			"rules.cold_ms: -1 is out of range, expected 0 to 3600000",
		},
		{
			checkNumbers(`class 2 ("x"): `, []numericSetting{{"aim_ms", 4e6}}),
			`class 2 ("x"): aim_ms: 4e+06 is out of range, expected 0 to 3600000`,
		},
		{&ConfigError{Key: "rules.gatewys", Err: errUnknownKey}, "unknown key rules.gatewys"},
		{checkAddress("listen", "here"), `listen: "here" is not an IP address and port`},
	} {
		if c.err.Error() != c.want {
			t.Errorf("got %q, want %q", c.err, c.want)
		}
	}
}

// The memory limit bounds the memory that prepared statements hold: a gateway with a lower limit holds less.
func TestPreparedStatementsAreBoundedByTheMemoryLimit(t *testing.T) {
	for memoryMB, want := range map[int]int{32: 8 << 20, 192: 48 << 20} {
		s := &Server{config: &Config{MemoryMB: memoryMB}}
		if got := s.newExtendedFrontend(&OperatorConfig{}).MaxReservedBytes; got != want {
			t.Errorf("got %d bytes with a limit of %d MB, want %d", got, memoryMB, want)
		}
	}
}
