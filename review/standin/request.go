package standin

import (
	"encoding/hex"
	"fmt"
	"time"

	"merlinjunction/internal/protocol/pg"
)

// Request is a client's request in the form of the protocol page.
type Request struct {
	ID, Key, Class, Tenant string
	Group                  int
	Limit                  time.Duration // how long the client waits
	Write                  bool
	Value                  []byte // that a write sets
}

// Message returns the query message. The idempotency key of a write is its ID.
func (r Request) Message() []byte {
	tenant, key := "", ""
	if r.Tenant != "" {
		tenant = ",t=" + r.Tenant
	}
	statement := fmt.Sprintf("SELECT v FROM records WHERE k = '%s'", r.Key)
	if r.Write {
		key = ",k=" + r.ID
		statement = fmt.Sprintf(`INSERT INTO records (k, v) VALUES ('%s', '\x%s') RETURNING v`, r.Key, hex.EncodeToString(r.Value))
	}
	return pg.AppendStrings(nil, pg.MsgQuery, fmt.Sprintf("%s /* id=%s,c=%s%s,d=%d%s,cluster=%d */",
		statement, r.ID, r.Class, tenant, r.Limit.Milliseconds(), key, r.Group))
}

// Plain returns the behaviour of a host that is up to date and works for a fixed time.
func Plain(record *Record, work time.Duration) Behaviour {
	return Behaviour{
		GreetAfter: func() time.Duration { return 5 * time.Millisecond },
		Work:       func(Statement) time.Duration { return work },
		Value:      func(s Statement) []byte { return []byte("value for " + s.ID) },
		Position:   func(at time.Time) time.Time { return at },
		Arrived:    func(Statement, time.Time) {},
		Ran: func(s Statement) {
			record.Printf("ran %s %s on %s", s.Class, s.ID, s.Host.ID)
		},
		StampedAnswers: true,
	}
}
