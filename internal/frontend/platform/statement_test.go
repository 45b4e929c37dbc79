package platform

import (
	"strings"
	"testing"
)

const (
	readSQL  = "SELECT v FROM records WHERE k = 'key-1' "
	writeSQL = `INSERT INTO records (k, v) VALUES ('key-1', '\x0aFF') RETURNING v `
)

func TestParseStatement(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want statement
	}{
		"read": {
			readSQL + "/*id=r-1,c=read,t=acme,cluster=3,d=250.5,r=1*/",
			statement{key: "key-1", annotation: annotation{
				id: "r-1", class: "read", tenant: "acme", timeLeftMs: 250.5, group: 3, clientRetry: true,
			}},
		},
		"write": {
			writeSQL + "/* id=r-1, k=once, c=write , cluster=0,d=250 */ ;\n",
			statement{key: "key-1", write: true, annotation: annotation{
				id: "r-1", idempotencyKey: "once", class: "write", timeLeftMs: 250,
			}},
		},
		"unknown names are ignored": {
			readSQL + "/*id=r-1,c=read,cluster=0,d=1,other=x*/",
			statement{key: "key-1", annotation: annotation{id: "r-1", class: "read", timeLeftMs: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := parseStatement(test.text)
			if err != nil {
				t.Fatal(err)
			}
			if timeLeft := test.text[got.timeLeftStart-2 : got.timeLeftEnd]; !strings.HasPrefix(timeLeft, "d=") {
				t.Errorf("got the time left %q, want the value of d", timeLeft)
			}
			want := test.want
			want.text, want.timeLeftStart, want.timeLeftEnd = test.text, got.timeLeftStart, got.timeLeftEnd
			if *got != want {
				t.Errorf("got %+v, want %+v", *got, want)
			}
		})
	}
}

func TestParseStatementRejects(t *testing.T) {
	for name, test := range map[string]struct{ text, want string }{
		"no annotation":      {readSQL, "the query ends in no comment that says what it is"},
		"text after comment": {readSQL + "/*id=1*/ x", "the query ends in no comment that says what it is"},
		"unknown form":       {"SELECT 1 /*id=1*/", "only SELECT v FROM records"},
		"no key":             {"SELECT v FROM records WHERE k = '' /*id=1*/", "only SELECT v FROM records"},
		"odd hexadecimal":    {strings.Replace(writeSQL, "0a", "0", 1) + "/*id=1*/", "only SELECT v FROM records"},
		"too many values":    {readSQL + "/*" + strings.Repeat("x,", maxAnnotationValues) + "id=1*/", "the comment has too many values"},
		"duplicate name":     {readSQL + "/*id=1,id=2*/", "the comment has two values of id"},
		"ID too long":        {readSQL + "/*id=" + strings.Repeat("x", 65) + "*/", `the comment's id has the value "xxx`},
		"ID with a quote":    {readSQL + "/*id=a'b*/", `the comment's id has the value "a'b"`},
		"no idempotency key": {readSQL + "/*id=1,k=*/", `the comment's k has the value ""`},
		"group below 0":      {readSQL + "/*id=1,cluster=-1*/", `the comment's cluster has the value "-1"`},
		"time with exponent": {readSQL + "/*id=1,d=1e3*/", `the comment's d has the value "1e3"`},
		"no time left":       {readSQL + "/*id=1,d=0*/", `the comment's d has the value "0"`},
		"no class":           {readSQL + "/*id=1,cluster=0,d=1*/", "the comment lacks id, c, cluster or d"},
		"no group":           {readSQL + "/*id=1,c=read,d=1*/", "the comment lacks id, c, cluster or d"},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := parseStatement(test.text); err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

// A query must be forwarded unchanged except for its time left.
func TestAppendToReplacesOnlyTheTimeLeft(t *testing.T) {
	st, err := parseStatement(readSQL + "/*id=1,c=read,cluster=0, d=250.5 ,x=y*/")
	if err != nil {
		t.Fatal(err)
	}
	for timeLeftMs, want := range map[float64]string{99.9: "d=99", 0.2: "d=1"} {
		message := string(st.AppendTo(nil, timeLeftMs))
		if text := readSQL + "/*id=1,c=read,cluster=0, " + want + " ,x=y*/\x00"; message[5:] != text {
			t.Errorf("%v ms left: got %q, want %q", timeLeftMs, message[5:], text)
		}
	}
}

func TestBlockedBy(t *testing.T) {
	response := func(key string, write bool, body []byte) *pendingResponse {
		return &pendingResponse{statement: &statement{key: key, write: write}, body: body}
	}
	for name, test := range map[string]struct {
		earlier, later *pendingResponse
		want           bool
	}{
		"read after write":          {response("a", true, nil), response("a", false, nil), true},
		"write after read":          {response("a", false, nil), response("a", true, nil), true},
		"write after write":         {response("a", true, nil), response("a", true, nil), true},
		"read after read":           {response("a", false, nil), response("a", false, nil), false},
		"another key":               {response("a", true, nil), response("b", true, nil), false},
		"after an answered write":   {response("a", true, []byte("Z")), response("a", false, nil), false},
		"after a gateway's answer":  {&pendingResponse{body: []byte("Z")}, response("a", true, nil), false},
		"write that is not blocked": {response("b", false, nil), response("a", true, nil), false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.later.blockedBy([]*pendingResponse{test.earlier}); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
