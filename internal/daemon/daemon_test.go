package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const exampleFile = "../../examples/node.yaml"

// Each invocation that doesn't serve exits with its own code and prints to one stream only:
// results to stdout, errors to stderr.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.yaml")
	if err := os.WriteFile(bad, []byte("node: {colour: red}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		args        []string
		exit        int
		out, errors string // substrings of the output
	}{
		{[]string{"--help"}, ExitOK, "--check", ""},
		{[]string{"--version"}, ExitOK, "peardriftd ", ""},
		{[]string{"--settings", exampleFile, "--check"}, ExitOK, "settings are usable", ""},
		{nil, ExitUsage, "", "--settings FILE is missing"},
		{[]string{"--colour"}, ExitUsage, "", "unknown flag `colour'"},
		{[]string{"--settings", exampleFile, "--check", "more"}, ExitUsage, "", `unexpected arguments ["more"]`},
		{[]string{"--settings", bad, "--check"}, ExitSettings, "", bad + ":1:8: node.colour is not a known key"},
		{[]string{"--settings", filepath.Join(dir, "none")}, ExitSettings, "", "no such file"},
	} {
		is := is.New(t)
		var out, errors bytes.Buffer
		is.Equal(Main(tt.args, &out, &errors), tt.exit)
		if !strings.Contains(out.String(), tt.out) || !strings.Contains(errors.String(), tt.errors) {
			t.Errorf("%v: printed %q and %q", tt.args, out.String(), errors.String())
		}
		is.True((out.Len() == 0) != (errors.Len() == 0)) // exactly one of them
	}
}
