package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/status"
)

const minimalYAML = `node: {name: feed-1, region: bangkok, zone: bangkok-a}
target: {service: feed.khaosan, address: "127.0.0.1:8080"}
platform:
  table: {endpoint: "http://127.0.0.1:8000"}
  objects: {endpoint: "http://127.0.0.1:8001"}
  accessKey: key-a
  secretKey: key-s
`

func TestMinimalFileKeepsDefaults(t *testing.T) {
	is := is.New(t)
	got, err := Parse("node.yaml", []byte(minimalYAML+"listen: {ops: \"127.0.0.1:0\"}\nlogs:\ntraffic: {uploadTimeout: 90s}\npeers: [\"10.0.0.1:7403\"]\n"))
	is.NoErr(err)
	want := Default()
	want.Node = Node{Name: "feed-1", Region: "bangkok", Zone: "bangkok-a", Instance: "feed-1"}
	want.Target.Service, want.Target.Address = "feed.khaosan", "127.0.0.1:8080"
	want.Listen.Ops = "127.0.0.1:0"
	want.Platform.Table.Endpoint, want.Platform.Objects.Endpoint = "http://127.0.0.1:8000", "http://127.0.0.1:8001"
	want.Platform.AccessKey, want.Platform.SecretKey = "key-a", "key-s"
	want.Traffic.UploadTimeout = 90 * time.Second
	want.Peers = []string{"10.0.0.1:7403"}
	is.Equal(got, want)
}

func TestExampleLoadsAndListsAllSettings(t *testing.T) {
	is := is.New(t)
	b, err := os.ReadFile("../../examples/node.yaml")
	is.NoErr(err)
	_, err = Parse("node.yaml", b)
	is.NoErr(err)
	for _, k := range settingKeys("", reflect.TypeFor[Settings]()) {
		name := k[strings.LastIndex(k, ".")+1:]
		if !regexp.MustCompile(`(?m)^[# ]*` + name + `:`).Match(b) {
			t.Errorf("the example lacks %s", k)
		}
	}
}

// settingKeys returns the keys of all settings that aren't sections.
func settingKeys(path string, typ reflect.Type) []string {
	var keys []string
	for i := range typ.NumField() {
		f := typ.Field(i)
		key := joinPath(path, f.Tag.Get("yaml"))
		if f.Type.Kind() == reflect.Struct {
			keys = append(keys, settingKeys(key, f.Type)...)
		} else {
			keys = append(keys, key)
		}
	}
	return keys
}

// Guards against a node that starts with a mistyped setting, for example with a default
// limit, because a lenient decoder drops unknown keys and values.
func TestProblemsNameTheirPosition(t *testing.T) {
	tests := []struct{ name, yaml, want string }{
		{"unknown key", minimalYAML + "logs:\n  levle: info\n", "f:9:3: logs.levle is not a known key"},
		{"unknown section", minimalYAML + "log: {}\n", "f:8:1: log is not a known key"},
		{"wrong type", minimalYAML + "logs:\n  perSecond: many\n", "f:9:14: logs.perSecond must be a whole number"},
		{"fraction for a whole number", minimalYAML + "logs:\n  perSecond: 1.5\n", "f:9:14: logs.perSecond must be a whole number"},
		{"section as text", minimalYAML + "logs: info\n", "f:8:7: logs must be a mapping"},
		{"duplicate key", minimalYAML + "logs: {level: info}\nlogs: {level: warn}\n", "f:9:1: mapping key \"logs\" already defined"},
		{"tagged list", minimalYAML + "peers: !x 0\n", "f:8:8: peers must be a plain value"},
		{"mapping for a list", minimalYAML + "peers: {a: b}\n", "peers must be a list of strings"},
		{"broken YAML", minimalYAML + "logs: {level: info\n", "f:8:7: "},
		{"two documents", minimalYAML + "---\nlogs: {}\n", "f:8:1: there is more than one"},
		{"host name", minimalYAML + "listen:\n  ops: localhost:80\n", `f:9:3: listen.ops must be an IP address with a port, 0 for any free one, is "localhost:80"`},
		{"target without port", strings.Replace(minimalYAML, "127.0.0.1:8080", "127.0.0.1:0", 1), "f:2:33: target.address must be an IP address with a port"},
		{"bad service", strings.Replace(minimalYAML, "feed.khaosan", "feed", 1), `f:2:10: target.service must be a service as "service.tenant", is "feed"`},
		{"duration without unit", minimalYAML + "shutdown:\n  grace: 30\n", "f:9:10: shutdown.grace must be a duration with its unit"},
		{"duration too long", minimalYAML + "target2: {}\ntraffic:\n  idleTimeout: 2h\n", "f:10:3: traffic.idleTimeout must be at most 1h"},
		{"grace within announce", minimalYAML + "shutdown: {announce: 30s}\n", "shutdown.grace must be more than announce"},
		{"same listener", minimalYAML + "listen:\n  ops: 127.0.0.1:7400\n", `f:9:3: listen.ops takes the address of listen.callers, "127.0.0.1:7400"`},
		{"listener under a wildcard", minimalYAML + "listen:\n  ops: 0.0.0.0:7400\n", "f:9:3: listen.ops takes the address of listen.callers"},
		{"nothing to advertise", minimalYAML + "listen:\n  nodes: 0.0.0.0:7401\n", "advertise.data must be an address that other nodes can call"},
		{"bad peer", minimalYAML + "peers:\n  - 10.0.0.1:7403\n  - node-2:7403\n", "f:8:1: peers[1] must be an IP address with a port"},
		{"bad level", minimalYAML + "logs: {level: all}\n", "logs.level must be one of debug info warn error"},
		{"no URL", strings.Replace(minimalYAML, "http://127.0.0.1:8000", "127.0.0.1:8000", 1), "platform.table.endpoint must be an http or https URL"},
		{"key file missing", strings.Replace(minimalYAML, "secretKey: key-s", "secretKeyFile: /nonexistent/key", 1), "f:7:3: platform.secretKeyFile "},
		{"folder of the log missing", minimalYAML + "logs:\n  file: /nonexistent/log\n", "f:9:3: logs.file can't be appended to: stat /nonexistent: no such file"},
		{"log file that is a folder", minimalYAML + "logs: {file: /}\ntraces: {file: /nonexistent/spans}\n", "f:8:8: logs.file can't be appended to: open /: is a directory\nf:9:10: traces.file can't be"},
		{"log file under a file", minimalYAML + "logs: {file: load_test.go/log}\n", "f:8:8: logs.file can't be appended to: stat load_test.go/log: not a directory"},
		{"no key", strings.Replace(minimalYAML, "  secretKey: key-s\n", "", 1), "f:3:1: platform.secretKey is required"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(EnvSecretKey, "")
			_, err := Parse("f", []byte(tt.yaml))
			is.True(err != nil)
			is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
			if !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %q, want %q in it", err, tt.want)
			}
		})
	}
}

// Guards against a process killed for its memory at the start: a file of a few KiB can
// nest thousands of collections, and the parser's memory is quadratic in the depth.
func TestDeepNestingIsRefusedBeforeParsing(t *testing.T) {
	is := is.New(t)
	for _, open := range []string{"[", "[\n", "{a: ", "- ", "? ", "!x "} {
		_, err := Parse("f", []byte("peers:\n  "+strings.Repeat(open, maxFileBytes/len(open)-10)))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "nested deeper")) // the error names the cause
	}
	ok := strings.Repeat("- a\n", 1000) + strings.Repeat("[", maxNesting) + strings.Repeat("]", maxNesting)
	is.Equal(findTooDeep([]byte(ok)), nil)
}

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := Parse("f", []byte("node:\n  name: a b\n  colour: red\nlogs: {perSecond: no}\npeers: [x]\n"))
	var inv *Invalid
	is.True(errors.As(err, &inv))
	var fields []string
	for _, p := range inv.Problems {
		fields = append(fields, p.Field)
	}
	is.Equal(strings.Join(fields, " "), "platform.accessKey platform.objects.endpoint platform.secretKey platform.table.endpoint"+
		" target.address target.service node.region node.zone node.name node.colour logs.perSecond peers[0]")
}

func TestLoadReadsFilesAndEnvironment(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	keyFile := filepath.Join(dir, "key")
	is.NoErr(os.WriteFile(keyFile, []byte("from-file\n"), 0o600))
	t.Setenv(EnvSecretKey, "from-env")
	y := strings.NewReplacer("accessKey: key-a", "accessKeyFile: "+keyFile, "  secretKey: key-s\n", "").Replace(minimalYAML)
	path := filepath.Join(dir, "node.yaml")
	is.NoErr(os.WriteFile(path, []byte(y), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.Platform.AccessKey.Reveal(), "from-file")
	is.Equal(s.Platform.SecretKey.Reveal(), "from-env")

	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		is.True(!strings.Contains(fmt.Sprintf(verb, s), "from-")) // no verb prints a key
	}
	_, err = Load(filepath.Join(dir, "none.yaml"))
	is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
	is.NoErr(os.WriteFile(path, make([]byte, maxFileBytes+1), 0o600))
	_, err = Load(path)
	is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
}

func FuzzParse(f *testing.F) {
	f.Add(minimalYAML)
	f.Add("peers: [[[[{a: [{b: - - ? !x &a *a\n")
	f.Add("peers: *a\nlogs: &a {<<: *a}\n")
	f.Add("peers: !x 0\nlogs: {level: !x [a]}\n")
	f.Add("node: {}\n---\n")
	f.Add("node: [1, 2]\ntarget: !!binary x\n")
	f.Fuzz(func(t *testing.T, y string) {
		_, err := Parse("f", []byte(y))
		if err != nil && status.CodeOf(err) != status.CodeInvalidSettings {
			t.Fatalf("code of %v", err)
		}
	})
}
