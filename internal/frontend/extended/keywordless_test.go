package extended

import (
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// A statement that has no keyword must be rejected like any statement without a matching rule, and must not cause a panic.
func TestStatementWithoutKeywordIsRejected(t *testing.T) {
	for _, text := range []string{"=", " = ;", "=="} {
		t.Run(text, func(t *testing.T) {
			defer func() {
				if cause := recover(); cause != nil {
					t.Errorf("panic: %v", cause)
				}
			}()
			s := &session{frontend: &Frontend{Rules: &Rules{}}}
			_, rejection := s.prepare(text)
			if rejection == nil || rejection.SQLState != pg.StateNotSupported {
				t.Errorf("got the rejection %+v, want SQLSTATE %s", rejection, pg.StateNotSupported)
			}
		})
	}
}
