package yamlset

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/status"
)

const tenantFile = "tenant: khaosan\nshare: 0.5\n"

const feedFile = `services:
  - name: feed
    slots: 25
    connections: 250
    calls: [notices.khaosan]
    classes:
      - {name: read, method: GET, path: /feed, importance: 30, deadline: 800ms, maxBody: 4KiB}
  - name: notices
    slots: 190
    connections: 1250
    classes:
      - name: publish
        method: POST
        path: /notices
        importance: 90
        atMostOnce: true
        attempts: 0
`

func TestParse(t *testing.T) {
	is := is.New(t)
	set, err := Parse(File{"a.yaml", []byte(tenantFile)}, File{"b.yaml", []byte(feedFile)})
	is.NoErr(err)
	is.Equal(set.Share, 0.5)
	is.Equal(len(set.Services), 2)
	is.Equal(set.Services[0].Classes[0], configset.Class{
		Name: "read", Method: "GET", Path: "/feed", Importance: 30, Deadline: 800 * time.Millisecond,
		Attempts: configset.DefaultAttempts, MaxBody: 4096,
	})
	is.Equal(set.Services[1].Classes[0], configset.Class{
		Name: "publish", Method: "POST", Path: "/notices", Importance: 90, Deadline: configset.DefaultDeadline,
		AtMostOnce: true, KeyRetention: configset.DefaultKeyRetention, MaxBody: configset.DefaultMaxBody,
	})
}

// Guards against a parser that stops at the first problem or loses positions, so
// that an operator has to fix and apply a set once for each problem.
func TestAllProblemsWithPositions(t *testing.T) {
	invalidSet := `tenant: khaosan
share: lots
colour: red
services:
  - name: feed
    slots: 25
    slots: 26
    connections: 2
    calls: [nowhere.khaosan]
    classes:
      - name: read
        path: feed
        importance: 200
        deadline: 5
        maxBody: [1]
        atMostOnce: maybe
  - slots: x
    connections: 10
    classes: {}
`
	_, err := Parse(File{"a.yaml", []byte(invalidSet)}, File{"b.yaml", []byte("share: 1\nservices: [\n")},
		File{"c.yaml", []byte("services:\n  - name: archive\n    slots: 0\n    connections: 9\n    classes: []\n")})
	var ps Problems
	if !errors.As(err, &ps) {
		t.Fatalf("not Problems: %v", err)
	}
	is.New(t).True(errors.Is(err, status.New(status.CodeInvalidSet, "")))
	all := "\n" + ps.Error() + "\n"
	for _, want := range []string{
		"a.yaml:2:8: share: must be a number",
		"a.yaml:3:1: colour: unknown key",
		"a.yaml:7:5: services[0].slots: is given twice",
		"a.yaml:8:18: services[0].connections: must be at least the 25 slots",
		"a.yaml:12:15: services[0].classes[0].path: must start with /",
		"a.yaml:13:21: services[0].classes[0].importance: must be 0 to 100",
		"a.yaml:14:19: services[0].classes[0].deadline: must be a duration",
		"a.yaml:15:18: services[0].classes[0].maxBody: must be a size",
		"a.yaml:16:21: services[0].classes[0].atMostOnce: must be true or false",
		"a.yaml:17:5: services[1].name: is missing",
		"a.yaml:17:12: services[1].slots: must be a whole number",
		"a.yaml:19:14: services[1].classes: must be a list",
		"b.yaml:2:11: ",
		"c.yaml:3:12: services[0].slots: must be 1 to",
		"c.yaml:5:14: services[0].classes: must have 1 to 128 classes, not 0",
	} {
		if !strings.Contains(all, "\n"+want) {
			t.Errorf("missing %q in:%s", want, all)
		}
	}
	is.New(t).True(!strings.Contains(all, "nowhere")) // b.yaml may declare it
}

func TestInvalidInput(t *testing.T) {
	for name, body := range map[string]string{
		"empty":     "",
		"list":      "- 1\n",
		"two":       tenantFile + feedFile + "---\na: 1\n",
		"alias":     tenantFile + strings.Replace(feedFile, "25\n", "&x 25\n", 1),
		"tag":       tenantFile + strings.Replace(feedFile, "25\n", "!!int 25\n", 1),
		"null":      tenantFile + "services:\n",
		"overflow":  tenantFile + strings.Replace(feedFile, "25\n", "99999999999999999999\n", 1),
		"huge":      tenantFile + feedFile + "#" + strings.Repeat("x", MaxFileSize),
		"nested":    strings.Repeat("[", 100_000),
		"entries":   strings.Repeat("- ", 100_000),
		"callee":    tenantFile + strings.Replace(feedFile, "notices.khaosan", "nowhere.khaosan", 1),
		"no tenant": feedFile,
		"same name": tenantFile + strings.Replace(feedFile, "name: notices", "name: feed", 1),
	} {
		t.Run(name, func(t *testing.T) {
			set, err := Parse(File{"x.yaml", []byte(body)})
			var ps Problems
			is := is.New(t)
			is.True(errors.As(err, &ps) && len(ps) > 0)
			is.Equal(set, configset.Set{}) // rejected as a whole
		})
	}
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	is.NoErr(os.WriteFile(filepath.Join(dir, "tenant.yaml"), []byte(tenantFile), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "feed.yml"), []byte(feedFile), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "README"), []byte("none"), 0o600))
	set, err := Load(dir)
	is.NoErr(err)
	is.Equal(len(set.Services), 2)
	_, err = Load(filepath.Join(dir, "absent"))
	is.Equal(status.CodeOf(err), status.CodeInvalidSettings)
	_, err = Load(t.TempDir())
	is.True(errors.Is(err, status.New(status.CodeInvalidSet, "")))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(tenantFile + feedFile))
	f.Add([]byte("tenant: [\n"))
	f.Add([]byte("? - a\n: &x *x\n"))
	f.Add([]byte("services: [{name: {}, classes: [[]]}]\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		set, err := Parse(File{"x.yaml", body})
		if err != nil {
			return
		}
		encoded, digest, err := configset.Encode(set)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := configset.Decode(encoded, digest, 1); err != nil {
			t.Fatal(err) // nodes must be able to decode any set that validates
		}
	})
}

// Guards against an objective that the operators' tool accepts and nodes never receive, or
// that is out of range.
func TestObjectiveReachesNodes(t *testing.T) {
	is := is.New(t)
	const class = "maxBody: 4KiB}"
	parse := func(objective string) (configset.Set, error) {
		feed := strings.Replace(feedFile, class, "objective: "+objective+", "+class, 1)
		return Parse(File{"a.yaml", []byte(tenantFile)}, File{"b.yaml", []byte(feed)})
	}
	set, err := parse("300ms")
	is.NoErr(err)
	set.Version = 1
	p, err := configset.Pack(set)
	is.NoErr(err)
	sent, err := p.Bytes()
	is.NoErr(err)
	received, err := configset.Unpack(sent, p.Head())
	is.NoErr(err)
	got := received.Set()
	is.Equal(got.Services[0].Classes[0].Objective, 300*time.Millisecond)
	is.Equal(got.Services[1].Classes[0].Objective, time.Duration(0))
	_, err = parse("2h")
	is.True(err != nil)
}
