package httpd

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	for _, c := range []struct {
		name, input string
		want        string // method, path and body; "" if no request is returned
		status      int    // status of the error; 0 if there is none
	}{
		{name: "query", input: "GET /api/ready?x=1 HTTP/1.1\r\nHost: a\r\n\r\n", want: "GET /api/ready "},
		{name: "case of a header", input: "PUT /x HTTP/1.1\r\ncontent-length: 3\r\n\r\nabcd", want: "PUT /x abc"},
		{name: "incomplete body", input: "PUT /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"},
		{name: "incomplete head", input: "GET / HTTP/1.1\r\nHost"},
		{name: "no version", input: "GET /\r\n\r\n", status: 400},
		{name: "HTTP/2", input: "GET / HTTP/2\r\n\r\n", status: 400},
		{name: "no method", input: " / HTTP/1.1\r\n\r\n", status: 400},
		{name: "header without a colon", input: "GET / HTTP/1.1\r\nno colon\r\n\r\n", status: 400},
		{name: "negative length", input: "GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", status: 400},
		{name: "two lengths", input: "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: 400},
		{name: "chunked body", input: "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", status: 400},
		{name: "length out of range", input: "PUT / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", status: 400},
		{name: "body too large", input: "PUT / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", status: 413},
		{name: "head too large", input: "GET /" + strings.Repeat("x", maxHeadBytes+1), status: 431},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, err := parseRequest([]byte(c.input))
			got, status := "", 0
			if request != nil {
				got = request.Method + " " + request.Path + " " + string(request.Body)
			}
			var rejected *requestError
			if errors.As(err, &rejected) {
				status = rejected.Status
			}
			if got != c.want || status != c.status || (err != nil) != (status != 0) {
				t.Errorf("got request %q, status %d, error %v, want request %q, status %d", got, status, err, c.want, c.status)
			}
		})
	}
}
