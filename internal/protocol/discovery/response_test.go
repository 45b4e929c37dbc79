package discovery

import (
	"errors"
	"strings"
	"testing"
)

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		name, input, body string
		err               error
	}{
		{name: "Content-Length", input: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcd", body: "abc"},
		{name: "chunked", body: "abc",
			input: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\n\r\n"},
		{name: "incomplete body", input: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab"},
		{name: "incomplete chunk", input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\na"},
		{name: "incomplete head", input: "HTTP/1.1 200 OK\r\nConte"},
		{name: "no length", input: "HTTP/1.1 200 OK\r\n\r\n", err: errMissingLength},
		{name: "negative length", err: errMalformedLength,
			input: "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"},
		{name: "length too large", err: errBodyTooLarge,
			input: "HTTP/1.1 200 OK\r\nContent-Length: 4194305\r\n\r\n"},
		{name: "chunk size too large", err: errBodyTooLarge,
			input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400001\r\n"},
		{name: "chunk size not a number", err: errMalformedChunk,
			input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n"},
		{name: "chunk too long", err: errMalformedChunk,
			input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"},
		{name: "another protocol", input: "SSH-2.0 hello\r\n\r\n", err: errMalformedResponse},
		{name: "head too large", input: strings.Repeat("x", maxHeadBytes+1), err: errHeadTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			resp, err := parseResponse([]byte(c.input))
			if !errors.Is(err, c.err) {
				t.Errorf("got error %v, want %v", err, c.err)
			}
			if complete := resp != nil; complete != (c.body != "") || complete && string(resp.body) != c.body {
				t.Errorf("got response %+v, want the body %q", resp, c.body)
			}
		})
	}
}
