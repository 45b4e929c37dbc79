package testkit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"merlinjunction/internal/stubserver"
)

// checkAgent returns an error unless the agent check answers with the text.
func (p *Player) checkAgent(want string) error {
	_, address, _ := p.Gateway.Addrs()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer stubserver.CloseQuietly(conn)
	if err := conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	got, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("agent check: read %q, then %w", got, err)
	}
	if strings.TrimSpace(string(got)) != want {
		return fmt.Errorf("agent check: got %q, want %q", got, want)
	}
	return nil
}

// checkHTTP returns an error unless the HTTP health check at the path answers with the status code.
func (p *Player) checkHTTP(status, path string) error {
	_, _, address := p.Gateway.Addrs()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer stubserver.CloseQuietly(response.Body)
	if strconv.Itoa(response.StatusCode) != status {
		return fmt.Errorf("health check %s: got status %s, want %s", path, response.Status, status)
	}
	return nil
}

// manage makes a call at the management address and returns an error unless it answers with the status code. call holds the
// method, the path and optionally a text. The text is the body of the call, and the answer to a GET must contain it.
func (p *Player) manage(status string, call []string) error {
	const bigBodySize = 1 << 16
	gateway, ok := p.Gateway.(interface{ ManagementAddr() string })
	if !ok || len(call) < 2 {
		return errors.New("the gateway has no management address, or the step has no METHOD and PATH")
	}
	method, path, text := call[0], call[1], append(call, "")[2]
	if text == "BIG" {
		text = strings.Repeat("x", bigBodySize)
	}
	request, err := http.NewRequest(method, "http://"+gateway.ManagementAddr()+path, strings.NewReader(text))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer stubserver.CloseQuietly(response.Body)
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("got status %s and body %q, then %w", response.Status, got, err)
	}
	contains := method != http.MethodGet || strings.Contains(string(got), text)
	if strconv.Itoa(response.StatusCode) != status || !contains {
		return fmt.Errorf("got status %s and body %q, want status %s (the answer to a GET must contain the step's text)",
			response.Status, got, status)
	}
	return nil
}

var servingLine = regexp.MustCompile(`"listen":"([^"]+)","management":"([^"]*)"`)

// ParseServingLine returns the addresses for clients and for management calls from the program's log line "serving". Both
// are empty for other lines.
func ParseServingLine(line string) (clients, management string) {
	if match := servingLine.FindStringSubmatch(line); match != nil {
		return match[1], match[2]
	}
	return "", ""
}
