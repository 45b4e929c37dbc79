package extended

import (
	"testing"

	"merlinjunction/internal/protocol/pg"
)

// A statement without any keyword is rejected like any other that no rule maps to a class.
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
				t.Errorf("got %+v", rejection)
			}
		})
	}
}
