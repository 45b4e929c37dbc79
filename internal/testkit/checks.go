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

// agent holds the agent check's answer against a text.
func (p *Player) agent(want string) error {
	_, address, _ := p.Gateway.Addrs()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return err
	}
	defer stubserver.CloseQuietly(conn)
	_ = conn.SetReadDeadline(time.Now().Add(stepTimeout))
	got, err := io.ReadAll(conn)
	if err != nil {
		return fmt.Errorf("got %q, %w", got, err)
	}
	if strings.TrimSpace(string(got)) != want {
		return fmt.Errorf("got %q", got)
	}
	return nil
}

// http holds the status of an HTTP health check against a number.
func (p *Player) http(status, path string) error {
	_, _, address := p.Gateway.Addrs()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer stubserver.CloseQuietly(response.Body)
	if strconv.Itoa(response.StatusCode) != status {
		return fmt.Errorf("got %s", response.Status)
	}
	return nil
}

// manage makes a call at the management address: method, path and, for a PUT, the body; for a GET a text that its answer
// must hold.
func (p *Player) manage(status string, call []string) error {
	const bigBodySize = 1 << 16
	g, ok := p.Gateway.(interface{ Management() string })
	if !ok || len(call) < 2 {
		return errors.New("no management address, or no call")
	}
	method, path, text := call[0], call[1], append(call, "")[2]
	if text == "BIG" {
		text = strings.Repeat("x", bigBodySize)
	}
	request, err := http.NewRequest(method, "http://"+g.Management()+path, strings.NewReader(text))
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
		return fmt.Errorf("got %s, %q, %w", response.Status, got, err)
	}
	if strconv.Itoa(response.StatusCode) != status || method == http.MethodGet && !strings.Contains(string(got), text) {
		return fmt.Errorf("got %s, %q", response.Status, got)
	}
	return nil
}

var servingLine = regexp.MustCompile(`"listen":"([^"]+)","management":"([^"]*)"`)

// Listening finds the clients' and the management address in a line of the program's log; "" where it is none of the kind.
func Listening(line string) (clients, management string) {
	if match := servingLine.FindStringSubmatch(line); match != nil {
		return match[1], match[2]
	}
	return "", ""
}
