package platform

import "testing"

// For any text the parser must return an error, or a statement that has the required values and whose timeLeftStart and
// timeLeftEnd enclose its time left.
func FuzzParseStatement(f *testing.F) {
	for _, seed := range []string{
		"SELECT v FROM records WHERE k = 'a' /* id=1,c=read,d=100,cluster=0 */",
		`INSERT INTO records (k, v) VALUES ('a', '\x00') RETURNING v /* id=1,c=write,k=x,d=1.5,cluster=0 */;`,
		"SELECT v FROM records WHERE k = 'a' /*d=1*/", "/**/", "/*/", "/*", "*/", "", "SELECT v FROM records WHERE k = '/*d=,d=*/",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := parseStatement(text)
		if err != nil {
			return
		}
		if !parsed.hasRequiredValues() || parsed.key == "" {
			t.Errorf("%q: got %+v, which lacks a required value or the key", text, parsed)
		}
		var timeLeft annotation
		if !timeLeft.setTimeLeft(text[parsed.timeLeftStart:parsed.timeLeftEnd]) || timeLeft.timeLeftMs != parsed.timeLeftMs {
			t.Errorf("%q: got %q as the text of the time left, want that of %v ms",
				text, text[parsed.timeLeftStart:parsed.timeLeftEnd], parsed.timeLeftMs)
		}
	})
}
