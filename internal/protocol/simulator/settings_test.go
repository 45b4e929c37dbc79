package simulator

import (
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"merlinjunction/routing"
)

const deploymentFile = "../../server/testdata/deployments/short.json"

// readDeployment decodes the deployment file into the value that file points to.
func readDeployment(t *testing.T, file any) {
	t.Helper()
	text, err := os.ReadFile(deploymentFile)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, file); err != nil {
		t.Fatal(err)
	}
}

// The error for an invalid settings object must be one line that names the key.
func TestSettingsErrorsNameTheKey(t *testing.T) {
	var file struct{ Settings json.RawMessage }
	readDeployment(t, &file)
	good := string(file.Settings)
	if _, err := DecodeSettings(good); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ old, new, want string }{
		{`"Effect": "non_idempotent"`, `"Effect": "undoable"`, `setting Services[].Effect: unknown value "undoable"`},
		{`"Name": "audit"`, `"Name": "archive"`, `setting Services[].Name: "archive" is empty or a duplicate`},
		{`"Name": "audit"`, `"Name": ""`, `setting Services[].Name: "" is empty or a duplicate`},
		{`"HardLimitMs": 250`, `"HardLimitMs": 0`, `setting Services[] "tank-level": HardLimitMs and AimMs must be above 0`},
		{`"AimMs": 60`, `"AimMs": -1`, `setting Services[] "tank-level": HardLimitMs and AimMs must be above 0`},
		{`"Balancers": 6`, `"Balancers": 6, "Tenants": [{"Name": "x"}, {"Name": "x"}]`,
			`setting Tenants[].Name: "x" is empty or a duplicate`},
		{`"session", "bounded"]`, `"session"]`, `FamilyInfo.NeedsByClass`},
		{`"ServerChecks": "refuse"`, `"ServerChecks": "maybe"`, `setting FamilyInfo.ServerChecks: unknown value "maybe"`},
	} {
		t.Run(test.new, func(t *testing.T) {
			bad := strings.Replace(good, test.old, test.new, 1)
			if bad == good {
				t.Fatalf("the deployment file lacks %s", test.old)
			}
			_, err := DecodeSettings(bad)
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: got the error %v, want one line with %q", test.new, err, test.want)
			}
		})
	}
}

func TestSettingsErrorsAreTyped(t *testing.T) {
	var settingError *SettingError
	_, err := DecodeSettings(strings.Replace(profileText, `"refuse"`, `"maybe"`, 1))
	if !errors.As(err, &settingError) || settingError.Key != "FamilyInfo.ServerChecks" {
		t.Errorf("unknown value: got %v", err)
	}
	var missing *MissingSettingsError
	_, err = DecodeSettings(strings.Replace(profileText, `"ColdMs"`, `"Other"`, 1))
	if !errors.As(err, &missing) || !slices.Equal(missing.Keys, []string{"Rules.ColdMs"}) {
		t.Errorf("absent key: got %v", err)
	}
	_, err = DecodeSettings(strings.Replace(profileText, `[200, 0]`, `[200]`, 1))
	if !errors.Is(err, ErrClassListLength) {
		t.Errorf("too few values by class: got %v", err)
	}
	// Errors of package json name the key together with the Go type of the settings object.
	_, err = DecodeSettings(strings.Replace(profileText, `"TickMs": 5`, `"TickMs": "5"`, 1))
	const want = "settings: json: cannot unmarshal string into Go struct field profile.TickMs of type float64"
	if err == nil || err.Error() != want {
		t.Errorf("value of the wrong type: got %v", err)
	}
}

// A class has settings in the Services list and, at the same index, in two lists of FamilyInfo. Whatever the order of the
// classes, each class must get its own consistency, staleness, idempotency and times.
func TestClassOrderDoesNotMatter(t *testing.T) {
	var file struct{ Settings map[string]any }
	readDeployment(t, &file)
	consistency := file.Settings["FamilyInfo"].(map[string]any)
	lists := [][]any{
		file.Settings["Services"].([]any),
		consistency["NeedsByClass"].([]any),
		consistency["MaxAgeMs"].([]any),
	}
	decode := func() map[string]routing.Class {
		text, err := json.Marshal(file.Settings)
		if err != nil {
			t.Fatal(err)
		}
		settings, err := DecodeSettings(string(text))
		if err != nil {
			t.Fatal(err)
		}
		classes := map[string]routing.Class{}
		for _, class := range settings.Classes {
			classes[class.Name] = class
		}
		return classes
	}
	want := decode()
	if len(want) != 4 {
		t.Fatalf("got %d classes, want 4", len(want))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 24 {
		i, j := rng.IntN(len(want)), rng.IntN(len(want))
		for _, list := range lists {
			list[i], list[j] = list[j], list[i]
		}
		if got := decode(); !maps.Equal(got, want) {
			t.Fatalf("classes in another order: got %v, want %v", got, want)
		}
	}
}
