package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against missing days that fall short of the gate when a hunt's verdict is that no
// rule was broken.
func TestReportIncludesDaysBelowGate(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "entry.json")
	is.NoErr(os.WriteFile(file, []byte(`{"id":"a1","cmd":"hunt","site":"s","head":"0123456789","days":[
		{"name":"good","rules":{},"fault":null,"short":[]},
		{"name":"short","rules":{},"fault":null,"short":["64% of the requests were refused or failed"]},
		{"name":"broken","rules":{"LOST":[1],"CONFIG":[2]},"fault":null,"short":[]},
		{"name":"slow","rules":{},"fault":"too slow","short":[]}]}`), 0o600))
	e, err := readEntry(file)
	is.NoErr(err)
	var out strings.Builder
	is.Equal(report(&out, e), 3)
	is.Equal(out.String(), `a1 s short: 64% of the requests were refused or failed
a1 s broken: broke CONFIG; broke LOST
a1 s slow: fault: too slow
a1 hunt s, code 0123456: 3 of 4 days broke a rule, had a fault or fell short of the gate
`)
}
