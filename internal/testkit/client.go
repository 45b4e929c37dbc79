package testkit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

// floodRepetitions is how many times a step with the word FLOOD sends its messages.
const floodRepetitions = 5000

// The ends of a connection, as the verb expect names them.
const (
	answerEOF    = "eof"
	answerBroken = "broken" // it ended in the middle of a message or with a reset
	answerCut    = "cut"    // as answerBroken, or it ended after a complete row
)

// clientStep plays a step on one client's connection.
func (p *Player) clientStep(verb, client, rest string) error {
	if verb == "send" {
		return p.send(client, rest)
	}
	conn := p.clients[client]
	if conn == nil {
		return fmt.Errorf("client %q has no open connection", client)
	}
	switch verb {
	case "expect":
		return p.expect(client, conn, strings.Fields(rest))
	case "half":
		return conn.CloseWrite()
	case "reset":
		_ = conn.SetLinger(0) // an error means that the connection has already ended
	}
	delete(p.clients, client)
	return conn.Close()
}

// connect returns a client's connection, and opens it if the client has none.
func (p *Player) connect(client string) (*net.TCPConn, error) {
	if conn := p.clients[client]; conn != nil {
		return conn, nil
	}
	address, _, _ := p.Gateway.Addrs()
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	p.clients[client] = conn.(*net.TCPConn)
	return p.clients[client], nil
}

// send sends a client's messages in one packet. It replaces each $CLIENT followed by a space by that client's
// BackendKeyData in hex.
func (p *Player) send(client, text string) error {
	conn, err := p.connect(client)
	if err != nil {
		return err
	}
	for other, key := range p.cancelKeys {
		text = strings.ReplaceAll(text, "$"+other+" ", key+" ")
	}
	repetitions := 1
	if rest, ok := strings.CutPrefix(text, "FLOOD "); ok {
		text, repetitions = rest, floodRepetitions
	}
	text = strings.Repeat(text+" | ", repetitions-1) + text
	var out []byte
	for message := range strings.SplitSeq(text, " | ") {
		if out, err = EncodeMessage(out, strings.TrimSpace(message)); err != nil {
			return err
		}
	}
	_, err = conn.Write(out)
	return err
}

// expect reads a client's answers and compares them with the wanted ones.
func (p *Player) expect(client string, conn net.Conn, wanted []string) error {
	if err := conn.SetReadDeadline(time.Now().Add(stepTimeout)); err != nil {
		return err
	}
	for i, want := range wanted {
		got, err := readAnswerOrEnd(conn, want)
		if err != nil {
			return fmt.Errorf("after the answers %v: %w", wanted[:i], err)
		}
		if key, ok := strings.CutPrefix(got, backendKeyPrefix); ok {
			p.cancelKeys[client] = key
		}
		if got != want && !strings.HasPrefix(got, want+":") {
			return fmt.Errorf("after the answers %v: want %s, got %s", wanted[:i], want, got)
		}
	}
	return nil
}

// readAnswerOrEnd reads a message or the end of the connection, and names it as scenarios do. If answerCut is wanted, a
// complete row may arrive before the end.
func readAnswerOrEnd(conn net.Conn, want string) (string, error) {
	got, err := ReadAnswer(conn)
	if errors.Is(err, io.EOF) {
		return answerEOF, nil
	}
	if want == answerCut && err == nil && got[0] == 'D' {
		got, err = ReadAnswer(conn)
		if errors.Is(err, io.EOF) {
			return answerCut, nil
		}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) {
		if want == answerCut {
			return answerCut, nil
		}
		return answerBroken, nil
	}
	return got, err
}
