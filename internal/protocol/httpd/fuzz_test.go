package httpd

import (
	"errors"
	"testing"
)

// FuzzParseRequest checks that input is incomplete, rejected with an error status, or a request within the input, whatever
// a client sends.
func FuzzParseRequest(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\n\r\n", "PUT /x?y HTTP/1.0\r\nContent-Length: 2\r\n\r\nab", "GET  HTTP/1.1\r\n\r\n", "\r\n\r\n",
		"GET / HTTP/1.1\r\n:\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: 4294967296\r\n\r\n",
		"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		request, err := parseRequest(input)
		switch {
		case err != nil:
			var rejected *requestError
			if !errors.As(err, &rejected) || rejected.Status < 400 {
				t.Errorf("got error %v, want a *requestError with a status from 400", err)
			}
		case request != nil && (request.Method == "" || len(request.Body) > len(input)):
			t.Errorf("got request %+v, want a method and a body within the input of %d bytes", request, len(input))
		}
	})
}
