package simulator

import (
	"fmt"
	"math"
	"time"

	"merlinjunction/routing"
)

// Values of the scope in a view event.
const (
	scopeDelta  = 0 // the list has only the endpoints that have changed
	scopeFull   = 1 // the list has all endpoints
	scopeCached = 2 // the full list that the instance last received
	scopeFailed = 3 // a poll has failed; the event has no list
	maxScope    = scopeFailed
)

// clientRetryAttribute is the bit in the attributes of a demand event that marks a retry by the client.
const clientRetryAttribute = 2

// noTenant is the tenant value of a demand event in a deployment without tenants.
const noTenant = "0"

// A result event has one number, the mark, for the position and the role of the host: markPositionUnit times the position
// in milliseconds, plus the role.
const (
	markPositionUnit = 4
	markRolePrimary  = 1
	markRoleReplica  = 2
)

// Names of the load report values that package routing uses.
const (
	reportPosition = "x0" // the position in seconds
	reportPrimary  = "x1" // 1 if the host is the primary
)

// eventDecoder decodes the values of an event. The valueReader keeps the first error. A nil event is skipped.
type eventDecoder func(*Decoder, *instance, *valueReader) routing.Event

// eventDecoders has the decoder of each event for an instance, by the event's name in the protocol.
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

func decodeEndpointUpdate(d *Decoder, _ *instance, values *valueReader) routing.Event {
	values.unsigned() // revision
	slot := values.optionalText()
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

func decodeRequest(_ *Decoder, target *instance, values *valueReader) routing.Event {
	request := routing.Request{ID: values.requestID(), Tenant: -1}
	if tenant := values.optionalText(); tenant != "" && tenant != noTenant {
		request.Tenant = values.lookupIndex(target.tenantIndexes, "tenant", tenant)
	}
	request.Class = values.lookupIndex(target.classIndexes, "class", values.requiredText())
	request.Group = values.integer(math.MaxInt32)
	values.milliseconds() // the expected cost, which package routing doesn't use
	request.SinceLastWrite = values.milliseconds()
	request.Session = values.optionalText()
	request.TimeLeft = values.milliseconds()
	request.ClientRetry = values.integer(math.MaxInt32)&clientRetryAttribute != 0
	return request
}

// lookupIndex returns the index of the class or tenant with the given name. An unknown name is an error.
func (r *valueReader) lookupIndex(indexes map[string]int, kind, name string) int {
	index, known := indexes[name]
	if !known {
		r.fail(fmt.Errorf("unknown %s %q", kind, name))
	}
	return index
}

func decodeAttemptResult(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	result := routing.AttemptResult{Request: values.requestID()}
	result.Attempt = values.integer(math.MaxInt32)
	result.Host = values.requiredText()
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

// splitMark splits the mark of a result into the role and the position of the host.
func splitMark(mark int64) (routing.Role, time.Duration) {
	position := time.Duration(mark/markPositionUnit) * time.Millisecond
	switch mark % markPositionUnit {
	case markRolePrimary:
		return routing.RolePrimary, position
	case markRoleReplica:
		return routing.RoleReplica, position
	}
	return routing.RoleUnknown, position
}

func decodeHealthCheckResult(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	values.milliseconds() // time since the health check
	result := routing.HealthCheckResult{Host: values.requiredText()}
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

func decodeStreamStarted(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	event := routing.StreamStarted{Request: values.requestID()}
	values.milliseconds()         // time since the attempt
	values.requiredText()         // host
	values.integer(math.MaxInt32) // attempt
	return event
}

func decodeClientGone(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	return routing.ClientGone{Request: values.requestID()}
}

func decodeTimerFired(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	values.unsigned() // the number of the timer, which is not needed: an instance has only one timer
	return routing.TimerFired{}
}

// skipDatagram skips a datagram from another gateway. The simulated gateways send each other no datagrams.
func skipDatagram(_ *Decoder, _ *instance, values *valueReader) routing.Event {
	values.unsigned()
	values.optionalText()
	return nil
}
