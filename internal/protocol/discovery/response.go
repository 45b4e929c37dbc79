package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	maxBodyBytes = 4 << 20
	maxHeadBytes = 16 << 10
)

// Errors of parseResponse. They appear in the Debug log line of a failed poll.
var (
	errMalformedResponse = errors.New("the response has a malformed HTTP/1 status line")
	errHeadTooLarge      = errors.New("the head of the response is too large")
	errBodyTooLarge      = errors.New("the body of the response is too large")
	errMissingLength     = errors.New("the response has neither a Content-Length nor a chunked body")
	errMalformedLength   = errors.New("the response has a malformed Content-Length")
	errMalformedChunk    = errors.New("the response has a malformed chunk")
)

// statusError reports a response whose status is not 200.
type statusError struct {
	Status int
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.Status) }

// response is one HTTP/1.1 response.
type response struct {
	status      int
	body        []byte
	size        int  // size of head and body together, in bytes
	closesAfter bool // the server closes the connection after the response
}

// responseHead holds the status and the header fields that describe the body.
type responseHead struct {
	status      int
	length      int // Content-Length, or -1 if there is none
	chunked     bool
	closesAfter bool
}

// parseResponse parses the response at the start of the input. It returns nil while the response is incomplete. The error
// is one of those above.
func parseResponse(input []byte) (*response, error) {
	headEnd := bytes.Index(input, []byte("\r\n\r\n"))
	if headEnd < 0 {
		if len(input) > maxHeadBytes {
			return nil, errHeadTooLarge
		}
		return nil, nil
	}
	head, err := parseHead(string(input[:headEnd]))
	if err != nil {
		return nil, err
	}
	bodyStart := headEnd + len("\r\n\r\n")
	rest := input[bodyStart:]
	resp := &response{status: head.status, closesAfter: head.closesAfter}
	switch {
	case head.chunked:
		body, size, err := parseChunks(rest)
		if size == 0 || err != nil {
			return nil, err
		}
		resp.body, resp.size = body, bodyStart+size
	case head.length < 0:
		return nil, errMissingLength
	case len(rest) < head.length:
		return nil, nil
	default:
		resp.body, resp.size = rest[:head.length], bodyStart+head.length
	}
	return resp, nil
}

// parseHead parses the status line and the header fields. text doesn't include the empty line that ends them.
func parseHead(text string) (responseHead, error) {
	head := responseHead{length: -1}
	lines := strings.Split(text, "\r\n")
	statusLine := strings.SplitN(lines[0], " ", 3)
	if len(statusLine) < 2 || !strings.HasPrefix(statusLine[0], "HTTP/1.") {
		return head, errMalformedResponse
	}
	var err error
	if head.status, err = strconv.Atoi(statusLine[1]); err != nil {
		return head, errMalformedResponse
	}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			head.length, err = strconv.Atoi(value)
			if err != nil || head.length < 0 {
				return head, errMalformedLength
			}
			if head.length > maxBodyBytes {
				return head, errBodyTooLarge
			}
		case "transfer-encoding":
			head.chunked = strings.EqualFold(value, "chunked")
		case "connection":
			head.closesAfter = strings.EqualFold(value, "close")
		}
	}
	return head, nil
}

// parseChunks decodes a chunked body. size is the number of input bytes that the body occupies, or 0 while the body is
// incomplete.
func parseChunks(input []byte) (body []byte, size int, err error) {
	position := 0
	for {
		lineLength := bytes.Index(input[position:], []byte("\r\n"))
		if lineLength < 0 {
			return nil, 0, nil
		}
		sizeText, _, _ := strings.Cut(string(input[position:position+lineLength]), ";")
		parsed, err := strconv.ParseUint(strings.TrimSpace(sizeText), 16, 31)
		if err != nil {
			return nil, 0, errMalformedChunk
		}
		if parsed > maxBodyBytes {
			return nil, 0, errBodyTooLarge
		}
		position += lineLength + len("\r\n")
		chunkEnd := position + int(parsed)
		if len(input) < chunkEnd+len("\r\n") {
			return nil, 0, nil
		}
		if string(input[chunkEnd:chunkEnd+len("\r\n")]) != "\r\n" {
			return nil, 0, errMalformedChunk
		}
		body = append(body, input[position:chunkEnd]...)
		position = chunkEnd + len("\r\n")
		if parsed == 0 {
			return body, position, nil
		}
	}
}
