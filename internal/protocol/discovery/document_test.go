package discovery

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"merlinjunction/internal/proxy"
	"merlinjunction/routing"
)

// TestDocumentHosts checks the conversion of an endpoint list in the form in which discovery sends it.
func TestDocumentHosts(t *testing.T) {
	const text = `{"revision":7,"complete":true,"members":[
		{"id":"a","host_port":"127.0.0.1:1","locality":"z","cell":3,"phase":"active","role":"leader","up_since_ms":1500.5},
		{"id":"b","phase":"leaving","role":"follower"},
		{"id":"c","phase":"left"}]}`
	var document Document
	if err := json.Unmarshal([]byte(text), &document); err != nil {
		t.Fatal(err)
	}
	hosts, err := document.Hosts()
	if err != nil || document.Revision != 7 || !document.Complete || len(hosts) != 3 {
		t.Fatalf("got document %+v and error %v, want revision 7, a complete list and three hosts", document, err)
	}
	want := []proxy.Host{
		{Address: "127.0.0.1:1", Endpoint: routing.Endpoint{
			ID: "a", Group: 3, Zone: "z", Primary: true, State: routing.StateReady, StartedAt: 1500500 * time.Microsecond,
		}},
		{Endpoint: routing.Endpoint{ID: "b", State: routing.StateDraining}},
		{Endpoint: routing.Endpoint{ID: "c", State: routing.StateGone}},
	}
	for i := range want {
		if hosts[i] != want[i] {
			t.Errorf("got host %+v, want %+v", hosts[i], want[i])
		}
	}
}

// TestDocumentHostsWithInvalidEntries checks that the error names the first invalid entry and that valid entries are
// converted.
func TestDocumentHostsWithInvalidEntries(t *testing.T) {
	document := Document{Entries: []Entry{
		{ID: "a", State: "active"},
		{ID: "b", State: "left"},
		{ID: "c", State: "asleep"},
		{ID: "d", State: "left", StartedAtMs: maxStartedAtMs},
	}}
	hosts, err := document.Hosts()
	var entryError *EntryError
	if !errors.As(err, &entryError) || entryError.ID != "a" {
		t.Errorf("got error %v, want an *EntryError for entry \"a\"", err)
	}
	if len(hosts) != 1 || hosts[0].ID != "b" {
		t.Errorf("got hosts %+v, want only \"b\"", hosts)
	}
}
