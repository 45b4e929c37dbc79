package simulator

import (
	"fmt"
	"math"
	"time"

	"merlinjunction/routing"
)

// Scopes of a view event.
const (
	scopeDelta  = 0 // only the endpoints that have changed
	scopeFull   = 1
	scopeCached = 2 // the full list as the instance last had it
	scopeFailed = 3 // a poll has failed: there is no list
	maxScope    = scopeFailed
)

// clientRetryAttribute is a bit in the attributes of a demand event.
const clientRetryAttribute = 2

// noTenant is the tenant in a demand event of a site without tenants.
const noTenant = "0"

// The mark of a result is markRoles times the position in milliseconds, plus the role.
const (
	markRoles       = 4
	markRolePrimary = 1
	markRoleReplica = 2
)

// Names in a load report.
const (
	reportPosition = "x0" // in seconds
	reportPrimary  = "x1" // 1 at the primary
)

// eventDecoder decodes the values of an event. Errors are kept in the fields. A nil event is skipped.
type eventDecoder func(*Decoder, *instance, *fields) routing.Event

// eventDecoders are the events for an instance, by the protocol's names.
var eventDecoders = map[string]eventDecoder{
	"view":                decodeEndpointUpdate,
	"demand":              decodeRequest,
	"result":              decodeAttemptResult,
	"sampled":             decodeHealthCheckResult,
	"first_byte":          decodeStreamStarted,
	"cancelled_by_client": decodeClientGone,
	"wake":                decodeTimerFired,
	"datagram":            skipDatagram,
}

func decodeEndpointUpdate(d *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned() // revision
	slot := f.optional()
	scope := f.integer(maxScope)
	if scope == scopeFailed {
		return routing.EndpointUpdate{Failed: true}
	}
	endpoints, err := d.sheets.lookup(slot)
	if err != nil {
		f.fail(err)
		return nil
	}
	return routing.EndpointUpdate{Full: scope == scopeFull || scope == scopeCached, Endpoints: endpoints}
}

func decodeRequest(_ *Decoder, in *instance, f *fields) routing.Event {
	request := routing.Request{ID: f.requestID(), Tenant: -1}
	if tenant := f.optional(); tenant != "" && tenant != noTenant {
		request.Tenant = f.lookup(in.tenantIndexes, "tenant", tenant)
	}
	request.Class = f.lookup(in.classIndexes, "class", f.text())
	request.Group = f.integer(math.MaxInt32)
	f.milliseconds() // the expected cost, which routing doesn't use
	request.SinceLastWrite = f.milliseconds()
	request.Session = f.optional()
	request.TimeLeft = f.milliseconds()
	request.ClientRetry = f.integer(math.MaxInt32)&clientRetryAttribute != 0
	return request
}

// lookup returns the index of a class or tenant by its name.
func (f *fields) lookup(indexes map[string]int, kind, name string) int {
	index, known := indexes[name]
	if !known {
		f.fail(fmt.Errorf("unknown %s %q", kind, name))
	}
	return index
}

func decodeAttemptResult(_ *Decoder, _ *instance, f *fields) routing.Event {
	result := routing.AttemptResult{Request: f.requestID()}
	result.Attempt = f.integer(math.MaxInt32)
	result.Host = f.text()
	result.Outcome = f.outcome()
	f.milliseconds() // time since the attempt
	result.RequestDone = f.flag()
	mark := f.number()
	if mark < 0 {
		f.fail(errNegativeResultMark)
		return nil
	}
	result.Role, result.Position = splitMark(int64(mark))
	f.loadReport()
	return result
}

// splitMark splits the mark of a result into a host's role and position.
func splitMark(mark int64) (routing.Role, time.Duration) {
	position := time.Duration(mark/markRoles) * time.Millisecond
	switch mark % markRoles {
	case markRolePrimary:
		return routing.RolePrimary, position
	case markRoleReplica:
		return routing.RoleReplica, position
	}
	return routing.RoleUnknown, position
}

func decodeHealthCheckResult(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.milliseconds() // time since the health check
	result := routing.HealthCheckResult{Host: f.text()}
	result.Outcome = f.outcome()
	report := f.loadReport()
	if seconds, ok := report[reportPosition]; ok {
		result.Position = max(0, time.Duration(math.Floor(seconds*1e6))*time.Microsecond)
	}
	if primary, ok := report[reportPrimary]; ok {
		result.Role = routing.RoleReplica
		if primary == 1 {
			result.Role = routing.RolePrimary
		}
	}
	return result
}

func decodeStreamStarted(_ *Decoder, _ *instance, f *fields) routing.Event {
	event := routing.StreamStarted{Request: f.requestID()}
	f.milliseconds()         // time since the attempt
	f.text()                 // host
	f.integer(math.MaxInt32) // attempt
	return event
}

func decodeClientGone(_ *Decoder, _ *instance, f *fields) routing.Event {
	return routing.ClientGone{Request: f.requestID()}
}

func decodeTimerFired(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned() // the timer's mark: an instance has one timer
	return routing.TimerFired{}
}

// skipDatagram skips a message of another gateway. The simulated gateways exchange none.
func skipDatagram(_ *Decoder, _ *instance, f *fields) routing.Event {
	f.unsigned()
	f.optional()
	return nil
}
