package settings

import (
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml/parser"

	"peardrift/internal/status"
)

// maxFileBytes bounds a file of settings; a larger one is a wrong path.
const maxFileBytes = 64 << 10

// Load reads the file at path over the defaults. Its failure is an *Invalid
// with all problems found, or a *status.Error where the file can't be read.
func Load(path string) (Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return Settings{}, status.Wrap(status.CodeInvalidSettings, err, "cannot open the settings")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return Settings{}, status.Wrap(status.CodeInvalidSettings, err, "cannot read the settings")
	}
	return Parse(path, b)
}

// Parse is Load for a file's content; name is only used in problems.
func Parse(name string, content []byte) (Settings, error) {
	d := decoder{at: map[string]position{}}
	if len(content) > maxFileBytes {
		d.report("", nil, fmt.Sprintf("is larger than %d bytes", maxFileBytes))
		return Settings{}, invalid(name, d.problems)
	}
	if t := tooDeep(content); t != nil {
		d.report("", t, fmt.Sprintf("is nested deeper than %d", maxNesting))
		return Settings{}, invalid(name, d.problems)
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Settings{}, invalid(name, []Problem{problemOf("", err)})
	}
	s := Default()
	if len(file.Docs) > 1 {
		d.report("", file.Docs[1].Start, "there is more than one YAML document")
	}
	if len(file.Docs) > 0 {
		d.document(file.Docs[0].Body, &s)
	}
	ps := append(d.problems, d.locate(validate(&s))...)
	ps = append(ps, d.locate(resolveKeys(&s.Platform, os.Getenv))...)
	if len(ps) > 0 {
		return Settings{}, invalid(name, ps)
	}
	if s.Node.Instance == "" {
		s.Node.Instance = s.Node.Name
	}
	return s, nil
}
