package server

import (
	"encoding/hex"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"merlinjunction/internal/protocol/pg"
	"merlinjunction/internal/stubserver"
	"merlinjunction/internal/testkit"
)

// fuzzReadTimeout is how long a fuzz target waits for responses to malformed input. The gateway may send none.
const fuzzReadTimeout = 20 * time.Millisecond

// sendFuzzed connects, sends the input, closes its sending side, and reads until the connection ends or fuzzReadTimeout
// has passed.
func sendFuzzed(t *testing.T, address string, input []byte) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatalf("cannot connect to the gateway: %v", err)
	}
	defer closeConn(conn)
	_, _ = conn.Write(input) // the gateway may close the connection before it has read all input
	_ = conn.(*net.TCPConn).CloseWrite()
	_ = conn.SetReadDeadline(time.Now().Add(fuzzReadTimeout))
	_, _ = io.Copy(io.Discard, conn)
}

// wantStartup checks that the gateway still answers the startup message of a new client.
func wantStartup(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatalf("cannot connect to the gateway: %v", err)
	}
	defer closeConn(conn)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := conn.Write(encode(t, "startup")); err != nil {
		t.Fatal(err)
	}
	if answer, err := testkit.ReadAnswer(conn); err != nil || answer != "R" {
		t.Fatalf("startup: got message %q, error %v, want R", answer, err)
	}
}

// framed converts the input to messages with valid framing. The first byte of each chunk of the input is the message
// type, and the second is the length of the body that follows.
func framed(input []byte) []byte {
	var out []byte
	for len(input) > 2 {
		messageType, size := input[0], min(int(input[1]), len(input)-2)
		out = pg.AppendMessage(out, messageType, input[2:2+size]...)
		input = input[2+size:]
	}
	return out
}

// unframed returns the input from which framed produces the given messages.
func unframed(messages []byte) []byte {
	var out []byte
	for len(messages) > 0 {
		messageType, body, size, err := pg.SplitMessage(messages, pg.MaxMessage)
		if err != nil || size == 0 {
			break
		}
		body = body[:min(len(body), 255)]
		out = append(append(out, messageType, byte(len(body))), body...)
		messages = messages[size:]
	}
	return out
}

// fuzzSession fuzzes the client's side of a frontend. The gateway must keep serving whatever a client sends. Each seed
// is a list of messages in the notation of scenarios.
func fuzzSession(f *testing.F, start testkit.StartGateway, seeds []string) {
	f.Helper()
	for _, seed := range seeds {
		messages := encode(f, strings.Split(seed, " | ")...)
		f.Add(unframed(messages), true)
		f.Add(append(encode(f, "startup"), messages...), false)
	}
	address, _, _ := testkit.NewPlayer(f, start, "a", "b").Gateway.Addrs()
	f.Fuzz(func(t *testing.T, input []byte, afterStartup bool) {
		if afterStartup {
			input = append(encode(t, "startup"), framed(input)...)
		}
		sendFuzzed(t, address, input)
		wantStartup(t, address)
	})
}

func FuzzExtendedSession(f *testing.F) {
	fuzzSession(f, startExtended, []string{
		"query =", "query  = ;", "query DEALLOCATE", "query SET", "query DISCARD", "query RESET", "query ;", "query -- x",
		"query SELECT v FROM s WHERE greenhouse = 'g'",
		"query INSERT INTO setpoints VALUES ('g', 'k', 'v')",
		"parse = = | bind - = | execute - | sync",
		"parse s SELECT v FROM s WHERE greenhouse = $1 | describe S s | bind p s g | describe P p | execute p 1 | execute p | sync",
		"parse w INSERT INTO setpoints VALUES ($1, $2, $3) | bind - w g NULL v | execute - | close S w | close P - | flush | sync",
		"raw 42 00000005 00", "raw 50 00000004", "raw 45 0000000a 00 ffffffff 00", "raw 46 00000004 | sync", "terminate",
	})
}

func FuzzPlatformSession(f *testing.F) {
	fuzzSession(f, startPlatform, []string{
		"query SELECT v FROM records WHERE k = 'a' /* id=f1,c=read,t=x,d=100,cluster=0 */",
		`query INSERT INTO records (k, v) VALUES ('a', '\x00') RETURNING v /* id=f2,c=write,t=x,d=100,k=f2,cluster=0 */`,
		"query SELECT v FROM records WHERE k = 'a' /* id=f3,c=read,d=1e9,cluster=99999999999 */", "query /* */", "query /*/",
		"query", "query =", "query SET x", "query ;", "sync", "flush | sync", "parse - SELECT 1 | sync",
		"raw 51 00000004", "raw 51 00000005 41", "terminate",
	})
}

// The gateway must keep serving and answer the next call, whatever is sent to its management address.
func FuzzManagement(f *testing.F) {
	for _, seed := range []string{
		"GET /api/ready HTTP/1.1\r\n\r\n",
		"PUT /api/exclude HTTP/1.1\r\nContent-Length: 10\r\n\r\n{\"id\":\"a\"}",
		"PUT /api/include HTTP/1.1\r\nContent-Length: 4\r\n\r\nnull",
		"PUT /api/include HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"GET /metrics?x HTTP/1.0\r\nA: b\r\n\r\n", "GET /api/members HTTP/1.1\r\n\r\n", "HEAD /api/telemetry HTTP/1.1\r\n\r\n",
		"PUT /api/evacuate HTTP/1.1\r\n\r\n", "PUT /api/rejoin HTTP/1.1\r\n:\r\n\r\n", "\r\n\r\n", " ",
	} {
		f.Add([]byte(seed))
	}
	player := testkit.NewPlayer(f, startManagedPlatform, "a", "b")
	management := player.Gateway.(*runningGateway).ManagementAddr()
	f.Fuzz(func(t *testing.T, input []byte) {
		sendFuzzed(t, management, input)
		if err := player.Step("manage 200 GET /api/telemetry"); err != nil {
			t.Error(err)
		}
	})
}

// The gateway must keep serving, and the request must get its final response, whatever a host sends as its response. The
// value in the statement tells the stub host which bytes to send.
func FuzzHostAnswer(f *testing.F) {
	row := stubserver.AppendRow(stubserver.AppendColumnDescription(nil), "v")
	complete := pg.AppendReadyForQuery(pg.AppendStrings(append([]byte(nil), row...), pg.MsgCommandComplete, "SELECT 1"))
	for _, seed := range [][]byte{
		complete, row, pg.AppendReadyForQuery(nil), append(complete, complete...), {}, {'D', 0, 0, 0, 4}, {'T', 0, 0, 0, 6, 255, 255},
		pg.AppendStrings(nil, pg.MsgParameterStatus, "replay_position", "NaN"),
		pg.AppendReadyForQuery(pg.ErrorResponse{SQLState: "XX000"}.AppendTo(nil)),
		{'E', 0, 0, 0, 5, 0}, {'D', 0, 1, 0, 0, 0, 1, 0, 1, 0, 0},
	} {
		f.Add(seed)
	}
	address, _, _ := testkit.NewPlayer(f, startExtended, "a", "b").Gateway.Addrs()
	f.Fuzz(func(t *testing.T, input []byte) {
		conn, err := net.Dial("tcp4", address)
		if err != nil {
			t.Fatalf("cannot connect to the gateway: %v", err)
		}
		defer closeConn(conn)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		value := "raw-" + hex.EncodeToString(input[:min(len(input), 1000)])
		if _, err := conn.Write(encode(t, "startup", "query SELECT v FROM s WHERE greenhouse = '"+value+"'")); err != nil {
			t.Fatal(err)
		}
		for readyCount := 0; readyCount < 2; { // one ReadyForQuery ends the startup, one the response
			answer, err := testkit.ReadAnswer(conn)
			if err != nil {
				t.Fatal(err)
			}
			if answer == "Z" {
				readyCount++
			}
		}
	})
}

// Any operator's file must be accepted, or rejected with an error of one line.
func FuzzOperatorFile(f *testing.F) {
	deployed, err := os.ReadFile("../../deploy/extended.toml")
	if err != nil {
		f.Fatal(err)
	}
	fleet, err := os.ReadFile("../../deploy/fleet.toml")
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		string(deployed), string(fleet), testkit.UnreachableHostConfig, "", "name = 1", "[rules]\ncold_share = nan", "[[class]]",
		"describe_class = \"x\"\n" + testkit.UnreachableHostConfig, "[fleet]\nnetworks = [\"\"]", "[[statement]]\npattern = '('",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		config, err := loadOperatorText(t, text)
		wantOneLine(t, config, err)
	})
}

// Any configuration of the platform must be accepted, or rejected with an error of one line.
func FuzzPlatformFile(f *testing.F) {
	for _, seed := range []string{
		platformText(f, "127.0.0.1:1"), "{}", "", `{"settings":{}}`, `{"settings":[]}`, `{"known":{"members":[{}]}}`,
		`{"limits":{"sockets":-1}}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		config, err := loadPlatformText(t, text)
		wantOneLine(t, config, err)
	})
}

// wantOneLine checks that loading returned a configuration, or an error of one line. A ConfigError must name its key.
func wantOneLine(t *testing.T, config *Config, err error) {
	t.Helper()
	if err == nil {
		if config == nil {
			t.Error("loading returned neither a configuration nor an error")
		}
		return
	}
	if strings.Contains(strings.TrimRight(err.Error(), "\n"), "\n") {
		t.Errorf("the error has several lines: %v", err)
	}
	var configError *ConfigError
	if errors.As(err, &configError) && configError.Key == "" {
		t.Errorf("the error names no key: %v", err)
	}
}
