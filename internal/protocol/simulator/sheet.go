package simulator

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"merlinjunction/routing"
)

const sheetSlots = 16

// endpointStates maps the state numbers of the protocol.
var endpointStates = [...]routing.EndpointState{
	0: routing.StateGone,
	1: routing.StateReady,
	2: routing.StateDraining,
}

// endpointSheets holds the endpoint lists that view events refer to by the number of a slot. A later sheet line for the
// same slot replaces the list.
type endpointSheets struct {
	endpoints [sheetSlots][]routing.Endpoint
	filled    [sheetSlots]bool
}

// lookup returns the list in a slot. The slot is unvalidated text from the input.
func (s *endpointSheets) lookup(slot string) ([]routing.Endpoint, error) {
	index, err := strconv.Atoi(slot)
	if err != nil || index < 0 || index >= sheetSlots || !s.filled[index] {
		return nil, fmt.Errorf("sheet slot %q has no list", slot)
	}
	return s.endpoints[index], nil
}

// decodeSheet decodes a sheet line and reads the member lines that follow it.
func (d *Decoder) decodeSheet(values *valueReader) error {
	slot := values.integer(sheetSlots - 1)
	count := values.integer(math.MaxInt32)
	if err := values.end(); err != nil {
		return fmt.Errorf("sheet: %w", err)
	}
	var endpoints []routing.Endpoint
	for range count {
		line, err := d.lines.next()
		if errors.Is(err, io.EOF) {
			return errInputEndsInSheet
		}
		if err != nil {
			return err
		}
		endpoint, err := decodeMember(newValueReader(line))
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	d.sheets.endpoints[slot] = endpoints
	d.sheets.filled[slot] = true
	return nil
}

func decodeMember(values *valueReader) (routing.Endpoint, error) {
	if name := values.value(); name != "member" {
		return routing.Endpoint{}, fmt.Errorf("sheet: expected member, got %q", name)
	}
	endpoint := routing.Endpoint{ID: values.requiredText()}
	endpoint.Zone = values.value()
	values.value() // kind of machine
	endpoint.Primary = values.optionalText() == "1"
	endpoint.Group = values.integer(math.MaxInt32)
	endpoint.State = endpointStates[values.integer(len(endpointStates)-1)]
	values.value() // weight
	endpoint.StartedAt = values.milliseconds()
	if err := values.end(); err != nil {
		return routing.Endpoint{}, fmt.Errorf("member: %w", err)
	}
	return endpoint, nil
}
