package pg

import (
	"encoding/binary"
	"fmt"
	"testing"
)

// A row that breaks off at any byte must be filled so that a client can read it and the error that follows, unless only a
// part of a header or of a length field was sent.
func TestBrokenRowIsFilledAtAnyByte(t *testing.T) {
	values := []string{"first", "", "third value"}
	body := binary.BigEndian.AppendUint16(nil, uint16(len(values)+1))
	for _, value := range values {
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(value))), value...)
	}
	body = binary.BigEndian.AppendUint32(body, 0xffffffff) // NULL
	description := AppendMessage(nil, MsgRowDescription, 0, 0)
	answer := append(description, AppendMessage(nil, MsgDataRow, body...)...)
	impossible := 0
	for sent := range len(answer) {
		filled := append([]byte(nil), answer[:sent]...)
		forwarded := &forwardedRow{}
		forwarded.add(filled)
		possible := true
		for possible && !forwarded.complete() {
			part := forwarded.nextFill()
			forwarded.add(part)
			filled = append(filled, part...)
			possible = part != nil
		}
		if !possible {
			impossible++
			continue
		}
		if err := readFilledRow(filled, len(description)); err != nil {
			t.Errorf("row cut after %d bytes: %v", sent, err)
		}
	}
	// In the description's header and column count, in the row's header, and in the four length fields of four bytes each. A
	// NULL that was begun can't be told from a length.
	if want := headerSize + 1 + rowHeaderSize - 1 + 4*(lengthSize-1); impossible != want {
		t.Errorf("%d rows could not be filled, want %d", impossible, want)
	}
}

// readFilledRow reads the messages of an answer as a client does. The first one has the given size.
func readFilledRow(answer []byte, firstSize int) error {
	if len(answer) == 0 || len(answer) == firstSize {
		return nil // whole messages without a row
	}
	messageType, body, size, err := SplitMessage(answer[firstSize:], MaxMessage)
	if err != nil || messageType != MsgDataRow || firstSize+size != len(answer) {
		return fmt.Errorf("type %q, size %d of %d, error %w", messageType, size, len(answer)-firstSize, err)
	}
	fields := NewFieldReader(body)
	for range fields.Int16() {
		fields.Value()
	}
	if !fields.AtEnd() {
		return ErrMalformed
	}
	return nil
}
