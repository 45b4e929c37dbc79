package server

import (
	"errors"
	"fmt"
)

var errUnknownKey = errors.New("unknown key")

// ConfigError reports a setting that is invalid or can't be applied. Its message is one line that names the key.
type ConfigError struct {
	Key string // key of the file or variable of the environment, for instance "fleet.listen" or "LB_LISTEN_FD"
	Err error  // cause
}

func (e *ConfigError) Error() string {
	if errors.Is(e.Err, errUnknownKey) {
		return e.Err.Error() + " " + e.Key
	}
	return e.Key + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// invalidKey returns a ConfigError whose cause has a formatted message. The format may wrap an error with %w.
func invalidKey(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}
