package pg

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
)

func TestParseStartup(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want *startupMessage // nil for a malformed message
	}{
		"user and database": {"user\x00u\x00database\x00d\x00\x00", &startupMessage{user: "u", database: "d"}},
		"user only":         {"user\x00u\x00\x00", &startupMessage{user: "u", database: "u"}},
		"parameters":        {"user\x00u\x00DateStyle\x00ISO\x00\x00", &startupMessage{user: "u", database: "u"}},
		"option": {
			"user\x00u\x00_pq_.x\x001\x00\x00",
			&startupMessage{user: "u", database: "u", unknownOptions: []string{"_pq_.x"}},
		},
		"no user":              {"database\x00d\x00\x00", nil},
		"no end":               {"user\x00u\x00", nil},
		"name without a value": {"user\x00u\x00database\x00", nil},
		"text after the end":   {"user\x00u\x00\x00x", nil},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := parseStartup([]byte(test.body), 0)
			if test.want == nil {
				if !errors.Is(err, ErrMalformed) {
					t.Errorf("got %+v, error %v, want ErrMalformed", got, err)
				}
				return
			}
			if err != nil || !reflect.DeepEqual(got, test.want) {
				t.Errorf("got %+v, error %v, want %+v", got, err, test.want)
			}
		})
	}
}

// Guards against other clients that waited while the gateway read startup messages of very many short parameters.
func TestStartupWithTooManyParametersIsRejected(t *testing.T) {
	parameters := "user\x00u\x00" + strings.Repeat("_pq_.\x00\x00", maxStartupParameters-1)
	if _, err := parseStartup([]byte(parameters+"\x00"), 0); err != nil {
		t.Errorf("%d parameters: %v, want no error", maxStartupParameters, err)
	}
	if _, err := parseStartup([]byte(parameters+"x\x00y\x00\x00"), 0); !errors.Is(err, errTooManyParameters) {
		t.Errorf("%d parameters: %v, want %v", maxStartupParameters+1, err, errTooManyParameters)
	}
}

// TestStartupNegotiatesTheVersion checks that the response to a newer minor version or to protocol options begins with a
// NegotiateProtocolVersion message.
func TestStartupNegotiatesTheVersion(t *testing.T) {
	noOptions := []byte("v\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00")
	oneOption := []byte("v\x00\x00\x00\x13\x00\x00\x00\x00\x00\x00\x00\x01_pq_.x\x00")
	for name, test := range map[string]struct {
		startup startupMessage
		want    []byte
	}{
		"version 3.0": {startupMessage{user: "u"}, []byte("R\x00\x00\x00\x08\x00\x00\x00\x00")},
		"version 3.2": {startupMessage{user: "u", minorVersion: 2}, noOptions},
		"option":      {startupMessage{user: "u", unknownOptions: []string{"_pq_.x"}}, oneOption},
	} {
		t.Run(name, func(t *testing.T) {
			if response := test.startup.response(1); !bytes.HasPrefix(response, test.want) {
				t.Errorf("got %q, want the prefix %q", response, test.want)
			}
		})
	}
}
