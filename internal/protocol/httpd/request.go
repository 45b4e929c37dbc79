package httpd

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxHeadBytes = 8 << 10
	maxBodyBytes = 4 << 10
)

// Request is a complete HTTP request.
type Request struct {
	Method string
	Path   string // without the query
	Body   []byte
}

// requestError reports a request that is answered with an error status without a call of the handler.
type requestError struct {
	Status  int    // HTTP status code
	Message string // one line of text for the body of the response
}

func (e *requestError) Error() string { return e.Message }

// response returns the response that reports the error to the client.
func (e *requestError) response() Response { return Response{Status: e.Status, Body: e.Message + "\n"} }

var (
	errMalformedHeader = errors.New("malformed header")
	errMalformedLength = errors.New("malformed Content-Length")
	errChunkedBody     = errors.New("only bodies with a Content-Length are taken")
)

// parseRequest parses the request at the start of the input. It returns nil while the request is incomplete. The error is
// a *requestError.
func parseRequest(input []byte) (*Request, error) {
	head, rest, complete := bytes.Cut(input, []byte("\r\n\r\n"))
	if len(head) > maxHeadBytes {
		return nil, &requestError{http.StatusRequestHeaderFieldsTooLarge, "the head is too large"}
	}
	if !complete {
		return nil, nil
	}
	lines := strings.Split(string(head), "\r\n")
	method, target, ok := parseRequestLine(lines[0])
	if !ok {
		return nil, &requestError{http.StatusBadRequest, "not an HTTP/1.1 call"}
	}
	length, err := contentLength(lines[1:])
	switch {
	case err != nil:
		return nil, &requestError{http.StatusBadRequest, err.Error()}
	case length > maxBodyBytes:
		return nil, &requestError{http.StatusRequestEntityTooLarge, "the body is too large"}
	case len(rest) < length:
		return nil, nil
	}
	path, _, _ := strings.Cut(target, "?")
	return &Request{Method: method, Path: path, Body: rest[:length]}, nil
}

// parseRequestLine parses the method and the target. ok is false if the line is malformed or its version is neither
// HTTP/1.0 nor HTTP/1.1.
func parseRequestLine(line string) (method, target string, ok bool) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" {
		return "", "", false
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return "", "", false
	}
	return parts[0], parts[1], true
}

// contentLength returns the length of the body in bytes, which is 0 without a Content-Length. A chunked body is an error,
// because no request to this server needs one.
func contentLength(headerLines []string) (int, error) {
	length := -1
	for _, line := range headerLines {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") {
			return 0, errMalformedHeader
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			parsed, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 && length != int(parsed) {
				return 0, errMalformedLength
			}
			length = int(parsed)
		case "transfer-encoding":
			return 0, errChunkedBody
		}
	}
	return max(0, length), nil
}
