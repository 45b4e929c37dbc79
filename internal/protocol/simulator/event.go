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

func decodeEndpointUpdate(d *Decoder, _ *instance, values *fields) routing.Event {
	values.unsigned() // revision
	slot := values.optional()
	scope := values.integer(maxScope)
	if scope == scopeFailed {
		return routing.EndpointUpdate{Failed: true}
	}
	endpoints, err := d.sheets.lookup(slot)
	if err != nil {
		values.fail(err)
		return nil
	}
	return routing.EndpointUpdate{Full: scope == scopeFull || scope == scopeCached, Endpoints: endpoints}
}

func decodeRequest(_ *Decoder, target *instance, values *fields) routing.Event {
	request := routing.Request{ID: values.requestID(), Tenant: -1}
	if tenant := values.optional(); tenant != "" && tenant != noTenant {
		request.Tenant = values.lookup(target.tenantIndexes, "tenant", tenant)
	}
	request.Class = values.lookup(target.classIndexes, "class", values.text())
	request.Group = values.integer(math.MaxInt32)
	values.milliseconds() // the expected cost, which routing doesn't use
	request.SinceLastWrite = values.milliseconds()
	request.Session = values.optional()
	request.TimeLeft = values.milliseconds()
	request.ClientRetry = values.integer(math.MaxInt32)&clientRetryAttribute != 0
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

func decodeAttemptResult(_ *Decoder, _ *instance, values *fields) routing.Event {
	result := routing.AttemptResult{Request: values.requestID()}
	result.Attempt = values.integer(math.MaxInt32)
	result.Host = values.text()
	result.Outcome = values.outcome()
	values.milliseconds() // time since the attempt
	result.RequestDone = values.flag()
	mark := values.number()
	if mark < 0 {
		values.fail(errNegativeResultMark)
		return nil
	}
	result.Role, result.Position = splitMark(int64(mark))
	values.loadReport()
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

func decodeHealthCheckResult(_ *Decoder, _ *instance, values *fields) routing.Event {
	values.milliseconds() // time since the health check
	result := routing.HealthCheckResult{Host: values.text()}
	result.Outcome = values.outcome()
	report := values.loadReport()
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

func decodeStreamStarted(_ *Decoder, _ *instance, values *fields) routing.Event {
	event := routing.StreamStarted{Request: values.requestID()}
	values.milliseconds()         // time since the attempt
	values.text()                 // host
	values.integer(math.MaxInt32) // attempt
	return event
}

func decodeClientGone(_ *Decoder, _ *instance, values *fields) routing.Event {
	return routing.ClientGone{Request: values.requestID()}
}

func decodeTimerFired(_ *Decoder, _ *instance, values *fields) routing.Event {
	values.unsigned() // the timer's mark: an instance has one timer
	return routing.TimerFired{}
}

// skipDatagram skips a message of another gateway. The simulated gateways exchange none.
func skipDatagram(_ *Decoder, _ *instance, values *fields) routing.Event {
	values.unsigned()
	values.optional()
	return nil
}
