package discovery

import (
	"encoding/json"
	"testing"
)

// FuzzParseResponse checks that input from discovery is incomplete, rejected, or a response within the input, and that
// every entry of its document becomes a host unless there is an error, whatever discovery sends.
func FuzzParseResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.1\r\n\r\n", "\r\n\r\n",
		"HTTP/1.0 503 x\r\nConnection: close\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 OK\r\n:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 93\r\n\r\n" +
			`{"revision":1,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","phase":"active"}]}`,
		"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n" + `{"members":[{"id":"a","up_since_ms":1e300}]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		resp, err := parseResponse(input)
		if err != nil || resp == nil {
			return
		}
		if resp.size <= 0 || resp.size > len(input) || len(resp.body) > resp.size {
			t.Fatalf("response of %d bytes with a body of %d bytes in an input of %d bytes", resp.size, len(resp.body), len(input))
		}
		var document Document
		if json.Unmarshal(resp.body, &document) != nil {
			return
		}
		if hosts, err := document.Hosts(); err == nil && len(hosts) != len(document.Entries) {
			t.Errorf("got %d hosts from %d entries without an error", len(hosts), len(document.Entries))
		}
	})
}
