package simulator

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"merlinjunction/routing"
)

const profileText = `{"Balancers": 3, "Unknown": [1], "Services": [{"Name": "read", "Effect": "read_like", "Group": "all",` +
	` "AimMs": 500, "HardLimitMs": 2000, "DedupWindowMs": 5000, "Worth": 1, "LateWorth": 0},` +
	` {"Name": "write", "Effect": "idempotency_key", "Group": "cell", "AimMs": 400, "HardLimitMs": 2000,` +
	` "DedupWindowMs": 1200, "Worth": 6, "LateWorth": 0.3}], "Tenants": [{"Name": "t", "QuotaRps": 10}],` +
	` "MembershipMode": "automatic", "TickMs": 5, "FamilyInfo": {"ServerChecks": "refuse", "Tokens": "remembered",` +
	` "CountedFromMs": 1000.5, "NeedsByClass": ["bounded", "write"], "MaxAgeMs": [200, 0]},` +
	` "Permissions": {"Cancel": true, "Probing": true, "MaxAttempts": 8, "MaxRetryAfterMs": 500, "RetryAfter": true},` +
	` "Rules": {"DrainGraceMs": 250, "ColdFrom": 0.25, "ColdMs": 16000, "TipMultiple": 2.5}}`

const opening = "begin_batch 2000\nswitch_to 3\ncreate 42 " + profileText + "\n"

func decodeAll(t *testing.T, input string) ([]Message, error) {
	t.Helper()
	d := NewDecoder(strings.NewReader(input))
	var all []Message
	for {
		b, err := d.Next()
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, b.Messages...)
	}
}

func TestDecodeEvents(t *testing.T) {
	got, err := decodeAll(t, opening+`sheet 0 2
member 10.18.74.7:9003 rennes-a std4 1 11 1 1 -
member 10.144.17.242:9044 rennes-b std4 0 11 2 1.5 6100.0
view 41 0 2
demand 930016602526148 t write 11 12.0 240.0 91f03b7c55d20a64 412.5 3
result 930016602526148 1 10.18.74.7:9003 200 18.5 1 25486 -
sampled 1.4 10.144.17.242:9044 200 x0:6.204,x1:0,backlog:3
first_byte 930016602526148 9.25 10.18.74.7:9003 0
cancelled_by_client 1819816540187417
datagram 2 68692037
wake 77
view 42 - 3
kill
your_turn
`)
	if err != nil {
		t.Fatal(err)
	}
	c := got[0].Create
	if c == nil || c.Seed != 42 || c.Settings.PositionEpoch != 1000500*time.Microsecond || c.Settings.GatewayCount != 3 ||
		c.Settings.Classes[1].Consistency != routing.ConsistencyWrite || c.Settings.Classes[1].DedupWindow != 1200*time.Millisecond {
		t.Fatalf("create: %+v", c)
	}
	list := got[1].Event.(routing.EndpointUpdate)
	if !list.Full || len(list.Endpoints) != 2 || !list.Endpoints[0].Primary || list.Endpoints[1].State != routing.StateDraining ||
		list.Endpoints[1].StartedAt != 6100*time.Millisecond {
		t.Fatalf("view: %+v", list)
	}
	want := []routing.Event{
		routing.Request{
			ID: 930016602526148, Class: 1, Tenant: 0, Group: 11, Session: "91f03b7c55d20a64",
			SinceLastWrite: 240 * time.Millisecond, TimeLeft: 412500 * time.Microsecond, ClientRetry: true,
		},
		routing.AttemptResult{
			Request: 930016602526148, Attempt: 1, Host: "10.18.74.7:9003", RequestDone: true,
			Role: routing.RoleReplica, Position: 6371 * time.Millisecond,
		},
		routing.HealthCheckResult{Host: "10.144.17.242:9044", Role: routing.RoleReplica, Position: 6204 * time.Millisecond},
		routing.StreamStarted{Request: 930016602526148},
		routing.ClientGone{Request: 1819816540187417},
		routing.TimerFired{},
	}
	for i, w := range want {
		if got[2+i].Event != w {
			t.Errorf("event %d: got %+v, want %+v", i, got[2+i].Event, w)
		}
	}
	if l := got[8].Event.(routing.EndpointUpdate); !l.Failed {
		t.Errorf("failed view: %+v", l)
	}
	if !got[9].Kill || got[9].Instance != 3 {
		t.Errorf("kill: %+v", got[9])
	}
}

func TestBadInputIsNamedWithItsLine(t *testing.T) {
	for name, tc := range map[string]struct{ input, want string }{
		"no batch":           {"hello\n", "line 1: expected begin_batch"},
		"unknown message":    {opening + "jump 1\nyour_turn\n", `line 4: unknown message "jump"`},
		"bad number":         {opening + "demand 1 t read 1 - - - soon 0\nyour_turn\n", `line 4: demand: "soon" is not a number`},
		"id out of range":    {opening + "cancelled_by_client 4503599627370496\nyour_turn\n", "line 4: cancelled_by_client: request id"},
		"slot out of range":  {opening + "sheet 16 0\nyour_turn\n", `line 4: sheet: "16" is not a whole number from 0 to 15`},
		"slot never filled":  {opening + "view 1 5 1\nyour_turn\n", "line 4: view: sheet 5 was never filled"},
		"no such instance":   {"begin_batch 1\nswitch_to 9\nwake 1\nyour_turn\n", "line 3: wake: instance 9 was not created"},
		"killed instance":    {opening + "kill\nwake 1\nyour_turn\n", "line 5: wake: instance 3 was not created"},
		"cut batch":          {opening + "wake 1\n", "line 5: the input ends inside a batch"},
		"cut sheet":          {opening + "sheet 0 2\n", "sheet: the input ends inside it"},
		"too few values":     {opening + "wake\nyour_turn\n", "line 4: wake: too few values"},
		"too many values":    {opening + "wake 1 2\nyour_turn\n", "line 4: wake: too many values"},
		"unknown class":      {opening + "demand 1 t lead 1 - - - 10 0\nyour_turn\n", `line 4: demand: unknown class "lead"`},
		"unknown outcome":    {opening + "result 1 0 m 299 1 0 0 -\nyour_turn\n", `line 4: result: unknown outcome "299"`},
		"bad report":         {opening + "sampled 1 m 200 x0\nyour_turn\n", `line 4: sampled: report value "x0"`},
		"missing settings":   {"begin_batch 1\nswitch_to 0\ncreate 1 {}\nyour_turn\n", "line 3: create: settings lack Balancers, Services"},
		"settings not JSON":  {"begin_batch 1\nswitch_to 0\ncreate 1 {\nyour_turn\n", "line 3: create: settings:"},
		"unknown word":       {strings.Replace(opening, `"refuse"`, `"argue"`, 1) + "your_turn\n", `unknown word "argue"`},
		"create to nobody":   {"begin_batch 1\ncreate 1 {}\nyour_turn\n", "line 2: create: no switch_to"},
		"negative time mark": {opening + "result 1 0 m 200 1 0 -4 -\nyour_turn\n", "line 4: result: a mark below 0"},
	} {
		_, err := decodeAll(t, tc.input)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: got %v, want %q", name, err, tc.want)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	var out bytes.Buffer
	e := NewEncoder(&out)
	e.Actions(3, []routing.Action{
		routing.Attempt{Request: 1, Host: "m:1", GiveUpAt: 8492250 * time.Microsecond}, routing.CancelAttempt{Request: 1},
		routing.Reject{Request: 2, RetryAfter: 250 * time.Millisecond}, routing.Fail{Request: 3}, routing.HealthCheck{Host: "m:1"},
		routing.SubscribeEndpoints{}, routing.SetTimer{After: 500 * time.Microsecond}, routing.Log{Text: "two\nlines"},
	})
	e.InternalError(5, "broke\nhere")
	if err := e.Flush(); err != nil {
		t.Fatal(err)
	}
	want := "from 3\nattempt 1 m:1 8492.25\ndrop_attempt 1 0\nrefuse 2 250\nlose 3\ntouch m:1\nlisten 1\nsleep 0.5 0\n" +
		"log two lines\nfrom 5\ninternal_error broke here\nyield\n"
	if out.String() != want {
		t.Fatalf("got %q", out.String())
	}
}

// FuzzDecode feeds the decoder anything: it must return batches or an error, and never panic.
func FuzzDecode(f *testing.F) {
	f.Add(opening + "sheet 0 1\nmember a:1 z k 0 1 1 1 -\nview 1 0 1\ndemand 1 t read 1 - - - 10 0\nyour_turn\n")
	f.Add(opening + "result 1 0 a:1 204 1 0 8 x0:1\nkill\nyour_turn\n")
	f.Add("begin_batch 1\nyour_turn\n")
	f.Fuzz(func(t *testing.T, input string) {
		d := NewDecoder(strings.NewReader(input))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}

// Each bad settings object gets one line that names the key.
func TestBadSettingsAreNamed(t *testing.T) {
	text, err := os.ReadFile("../../server/testdata/deployments/short.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Settings json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	good := string(file.Settings)
	if _, err := DecodeSettings(good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"Effect": "non_idempotent"`, `"Effect": "undoable"`, `setting Services[].Effect: unknown word "undoable"`},
		{`"Name": "audit"`, `"Name": "archive"`, `setting Services[].Name: "archive" is empty or stands there twice`},
		{`"Name": "audit"`, `"Name": ""`, `setting Services[].Name: "" is empty or stands there twice`},
		{`"HardLimitMs": 250`, `"HardLimitMs": 0`, `setting Services[] "tank-level": HardLimitMs or AimMs is not above 0`},
		{`"AimMs": 60`, `"AimMs": -1`, `setting Services[] "tank-level": HardLimitMs or AimMs is not above 0`},
		{`"Balancers": 6`, `"Balancers": 6, "Tenants": [{"Name": "x"}, {"Name": "x"}]`, `setting Tenants[].Name: "x" is empty or stands there twice`},
		{`"session", "bounded"]`, `"session"]`, `FamilyInfo.NeedsByClass`},
		{`"ServerChecks": "refuse"`, `"ServerChecks": "maybe"`, `setting FamilyInfo.ServerChecks: unknown word "maybe"`},
	} {
		bad := strings.Replace(good, c.old, c.new, 1)
		if bad == good {
			t.Fatalf("%s is not there", c.old)
		}
		if _, err := DecodeSettings(bad); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.new, err)
		}
	}
}

// A class's settings stand in two places, one of them by number. In whatever order a customer lists its classes, each has its
// own need, age, effect and times: no class gets another's, and none is known by its place.
func TestClassesGoByNameInAnyOrder(t *testing.T) {
	text, err := os.ReadFile("../../server/testdata/deployments/short.json")
	if err != nil {
		t.Fatal(err)
	}
	var file struct{ Settings map[string]any }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	f := file.Settings["FamilyInfo"].(map[string]any)
	lists := [][]any{file.Settings["Services"].([]any), f["NeedsByClass"].([]any), f["MaxAgeMs"].([]any)}
	decode := func() map[string]routing.Class {
		text, err := json.Marshal(file.Settings)
		if err != nil {
			t.Fatal(err)
		}
		s, err := DecodeSettings(string(text))
		if err != nil {
			t.Fatal(err)
		}
		classes := map[string]routing.Class{}
		for _, c := range s.Classes {
			classes[c.Name] = c
		}
		return classes
	}
	want := decode()
	if len(want) != 4 {
		t.Fatalf("%d classes, 4 expected", len(want))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 24 {
		i, j := rng.IntN(len(want)), rng.IntN(len(want))
		for _, l := range lists {
			l[i], l[j] = l[j], l[i]
		}
		if got := decode(); !maps.Equal(got, want) {
			t.Fatalf("classes in another order are %v, not %v", got, want)
		}
	}
}
