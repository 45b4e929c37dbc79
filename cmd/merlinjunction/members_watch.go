package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"merlinjunction/internal/frontend/management"
)

// Names of events, and of a state, that only the watch prints.
const (
	memberEvent      = "member"   // the state of a member has changed
	statusEvent      = "standing" // the gateway's own status has changed
	unreachableEvent = "away"     // the gateway can't be queried
	removedState     = "forgotten"
)

const eventTimeFormat = "15:04:05.000"

// watchEvent is an event that the watch prints as one line. Scripts read its name and keys.
type watchEvent struct {
	name   string
	fields []eventField // in the order in which they are printed
}

// eventField is one value of a watchEvent.
type eventField struct {
	key, value string
}

// membersWatcher polls a gateway's view of its fleet, and prints each change.
type membersWatcher struct {
	address string
	out     io.Writer
	json    bool

	unreachable  bool              // whether the last query failed
	status       string            // last known status of the gateway itself
	memberStates map[string]string // last known state of each member, by name
}

// run queries the gateway periodically until the context ends.
func (w *membersWatcher) run(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		_, fleet, err := fetchMembers(ctx, w.address)
		if ctx.Err() != nil {
			return
		}
		for _, event := range w.update(fleet, err) {
			w.print(event)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// update returns the changes since the last query. After a failed query, further failures are not reported until a query
// succeeds.
func (w *membersWatcher) update(fleet *management.Fleet, err error) []watchEvent {
	if err != nil {
		if w.unreachable {
			return nil
		}
		w.unreachable = true
		return []watchEvent{{unreachableEvent, []eventField{{"cause", err.Error()}}}}
	}
	w.unreachable = false
	var events []watchEvent
	if status := fmt.Sprintf("%s part=%v", fleet.Status, fleet.Partial); status != w.status {
		w.status = status
		events = append(events, watchEvent{statusEvent, []eventField{{"member", fleet.Self}, {"state", status}}})
	}
	return append(events, w.updateMembers(fleet.Members)...)
}

// updateMembers returns an event for each member whose state has changed or that is no longer listed.
func (w *membersWatcher) updateMembers(members []management.Member) []watchEvent {
	var events []watchEvent
	states := map[string]string{}
	for _, member := range members {
		states[member.Name] = member.State
		if previous, known := w.memberStates[member.Name]; !known || previous != member.State {
			events = append(events, watchEvent{memberEvent, []eventField{
				{"member", member.Name}, {"was", previous}, {"state", member.State},
				{"zone", member.Zone}, {"address", member.Address},
			}})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(w.memberStates)) {
		if _, listed := states[name]; !listed {
			events = append(events, watchEvent{memberEvent, []eventField{
				{"member", name}, {"was", w.memberStates[name]}, {"state", removedState},
			}})
		}
	}
	w.memberStates = states
	return events
}

func (w *membersWatcher) print(event watchEvent) {
	now := time.Now().Format(eventTimeFormat)
	if w.json {
		printf(w.out, "%s\n", event.encodeJSON(now))
		return
	}
	printf(w.out, "%s\n", event.text(now))
}

// encodeJSON returns the event as one JSON object, with empty values too.
func (e watchEvent) encodeJSON(now string) []byte {
	object := map[string]string{"time": now, "event": e.name}
	for _, field := range e.fields {
		object[field.key] = field.value
	}
	text, _ := json.Marshal(object) // never fails for strings
	return text
}

// text returns the event as one line of key=value pairs, without empty values.
func (e watchEvent) text(now string) string {
	line := now + " " + e.name
	for _, field := range e.fields {
		if field.value != "" {
			line += " " + field.key + "=" + field.value
		}
	}
	return line
}
