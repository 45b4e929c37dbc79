package simulator

import (
	"bytes"
	"testing"
	"time"

	"merlinjunction/routing"
)

func TestEncodeActions(t *testing.T) {
	var out bytes.Buffer
	encoder := NewEncoder(&out)
	encoder.WriteActions(3, []routing.Action{
		routing.Attempt{Request: 1, Host: "m:1", GiveUpAt: 8492250 * time.Microsecond},
		routing.CancelAttempt{Request: 1},
		routing.WithdrawAttempt{Request: 1},
		routing.Reject{Request: 2, RetryAfter: 250 * time.Millisecond},
		routing.Fail{Request: 3},
		routing.HealthCheck{Host: "m:1"},
		routing.SubscribeEndpoints{},
		routing.SetTimer{After: 500 * time.Microsecond},
		routing.Log{Text: "two\nlines"},
	})
	encoder.WriteInternalError(5, "broke\nhere")
	if err := encoder.EndReply(); err != nil {
		t.Fatal(err)
	}
	want := "from 3\nattempt 1 m:1 8492.25\ndrop_attempt 1 0\nrefuse 2 250\nlose 3\ntouch m:1\nlisten 1\nsleep 0.5 0\n" +
		"log two lines\nfrom 5\ninternal_error broke here\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q, want %q", out.String(), want)
	}
}
