package server

import (
	"errors"
	"fmt"
)

var (
	errOutOfRange = errors.New("is out of range")
	errUnknownKey = errors.New("unknown key")
)

// ConfigError reports a setting that can't be used. Its message is one line that names the key.
type ConfigError struct {
	Key string // of the file or the environment, for instance "fleet.listen" or "LB_LISTEN_FD"
	Err error  // what is wrong with it
}

func (e *ConfigError) Error() string {
	switch {
	case errors.Is(e.Err, errOutOfRange):
		return e.Key + " " + e.Err.Error()
	case errors.Is(e.Err, errUnknownKey):
		return e.Err.Error() + " " + e.Key
	}
	return e.Key + ": " + e.Err.Error()
}

// Unwrap returns what is wrong with the key.
func (e *ConfigError) Unwrap() error { return e.Err }

// invalidKey returns a ConfigError whose cause has a formatted message; the format may wrap an error with %w.
func invalidKey(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}
