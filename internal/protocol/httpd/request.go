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

// requestError reports a request that is answered with an error status, unseen by the handler.
type requestError struct {
	Status  int    // one of net/http's numbers
	Message string // one line for the client
}

func (e *requestError) Error() string { return e.Message }

// response is the response that tells the client.
func (e *requestError) response() Response { return Response{Status: e.Status, Body: e.Message + "\n"} }

var (
	errMalformedHeader = errors.New("malformed header")
	errMalformedLength = errors.New("malformed Content-Length")
	errChunkedBody     = errors.New("only bodies with a Content-Length are taken")
)

// parseRequest reads the request that the input begins with; nil while it is incomplete. The error is a *requestError.
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

// parseRequestLine reads the method and the target; not ok for anything but HTTP/1.0 and HTTP/1.1.
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

// contentLength is the length of the body in bytes; 0 without a Content-Length. A chunked body is an error, as no
// request here needs one.
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
