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

// checkAgent compares the agent check's answer with a text.
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
		return fmt.Errorf("got %q, %w", got, err)
	}
	if strings.TrimSpace(string(got)) != want {
		return fmt.Errorf("got %q", got)
	}
	return nil
}

// checkHTTP compares the status of an HTTP health check with a number.
func (p *Player) checkHTTP(status, path string) error {
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

// manage makes a call at the management address: method, path and a text. The text is the body; the answer to a GET
// must contain it.
func (p *Player) manage(status string, call []string) error {
	const bigBodySize = 1 << 16
	gateway, ok := p.Gateway.(interface{ Management() string })
	if !ok || len(call) < 2 {
		return errors.New("no management address, or no call")
	}
	method, path, text := call[0], call[1], append(call, "")[2]
	if text == "BIG" {
		text = strings.Repeat("x", bigBodySize)
	}
	request, err := http.NewRequest(method, "http://"+gateway.Management()+path, strings.NewReader(text))
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
	contains := method != http.MethodGet || strings.Contains(string(got), text)
	if strconv.Itoa(response.StatusCode) != status || !contains {
		return fmt.Errorf("got %s, %q", response.Status, got)
	}
	return nil
}

var servingLine = regexp.MustCompile(`"listen":"([^"]+)","management":"([^"]*)"`)

// ParseServingLine returns the clients' and the management address from the program's log line "serving". Both are
// empty for other lines.
func ParseServingLine(line string) (clients, management string) {
	if match := servingLine.FindStringSubmatch(line); match != nil {
		return match[1], match[2]
	}
	return "", ""
}
