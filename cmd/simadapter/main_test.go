package main

import (
	"bytes"
	"strings"
	"testing"
)

// createLine creates an instance whose only class is a class of reads.
const createLine = `create 1 {"Balancers": 1, "Services": [{"Name": "read", "Effect": "read_like", "Group": "all",` +
	` "AimMs": 500, "HardLimitMs": 2000}], "MembershipMode": "automatic", "FamilyInfo": {"ServerChecks": "refuse",` +
	` "Tokens": "remembered", "NeedsByClass": ["any"], "MaxAgeMs": [0]}, "Permissions": {"MaxAttempts": 8},` +
	` "Rules": {"DrainGraceMs": 250, "ColdFrom": 0.25, "ColdMs": 16000, "TipMultiple": 2.5}}` + "\n"

// endpointLines give the instance one host.
const endpointLines = "sheet 0 1\nmember a:1 z k 0 1 1 1 -\nview 1 0 2\n"

// runAdapter runs the adapter on an input and returns its output.
func runAdapter(t *testing.T, input string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(input), &out)
	return out.String(), err
}

func TestEmptyBatch(t *testing.T) {
	out, err := runAdapter(t, "begin_batch 1\nyour_turn\n")
	if err != nil || out != "yield\n" {
		t.Fatalf("got the output %q and the error %v, want \"yield\\n\" and no error", out, err)
	}
}

func TestTruncatedBatchIsAnError(t *testing.T) {
	if _, err := runAdapter(t, "begin_batch 1\n"); err == nil {
		t.Fatal("got no error for an input that ends inside a batch")
	}
}

func TestInvalidSettingIsNamedInTheError(t *testing.T) {
	bad := strings.Replace(createLine, `"MaxAttempts": 8`, `"MaxAttempts": 0`, 1)
	if _, err := runAdapter(t, "begin_batch 1\nswitch_to 0\n"+bad+"your_turn\n"); err == nil ||
		!strings.Contains(err.Error(), "MaxAttempts") {
		t.Fatalf("got %v, want an error that names MaxAttempts", err)
	}
}

func TestKillAndCreateInOneBatch(t *testing.T) {
	start := "begin_batch 1000\nswitch_to 0\n" + createLine + endpointLines + "your_turn\n"
	restart := "begin_batch 1010\nswitch_to 0\ndemand 7 - read 1 - - - 900 0\nkill\n" + createLine + endpointLines +
		"demand 8 - read 1 - - - 900 0\nyour_turn\n"
	out, err := runAdapter(t, start+restart)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out, "attempt 7") || !strings.Contains(out, "attempt 8 a:1") {
		t.Fatalf("want an attempt for request 8 of the new instance only, got %q", out)
	}
	out, err = runAdapter(t, start+"begin_batch 1010\nswitch_to 0\nkill\nyour_turn\n")
	if err != nil || !strings.HasSuffix(out, "yield\nyield\n") {
		t.Fatalf("want no action of a killed instance, got %q, %v", out, err)
	}
}
