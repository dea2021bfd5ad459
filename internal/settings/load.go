package settings

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/parser"

	"peardrift/internal/status"
)

// maxFileBytes bounds a file of settings; a larger one is a wrong path.
const maxFileBytes = 64 << 10

// Load reads the file at path over the defaults. Its failure is an *Invalid
// with all problems found, or a *status.Error where the file can't be read.
func Load(path string) (Settings, error) {
	b, err := read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, b)
}

// LoadPlatform reads the section platform of the file at path over its defaults,
// for a tool that needs nothing else. Other sections are skipped, as a node
// checks them. What is there must be well formed; what is missing is for
// Platform.Complete to find. It fails as Load does.
func LoadPlatform(path string) (Platform, error) {
	b, err := read(path)
	if err != nil {
		return Platform{}, err
	}
	s, d := decode(b)
	ps := slices.DeleteFunc(d.problems, func(p Problem) bool {
		return p.Field != "" && p.Field != platformKey && !strings.HasPrefix(p.Field, platformKey+".")
	})
	if len(ps) > 0 {
		return Platform{}, invalid(path, ps)
	}
	return s.Platform, nil
}

// read returns a file's content, at most one byte more than it may have.
func read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot open the settings")
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "cannot read the settings")
	}
	return b, nil
}

// Parse is Load for a file's content; name is only used in problems.
func Parse(name string, content []byte) (Settings, error) {
	s, d := decode(content)
	if d.broken {
		return Settings{}, invalid(name, d.problems)
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

// decode sets what a file's content says over the defaults. Nothing is set, and
// the decoder is broken, if the content is no YAML that can be read.
func decode(content []byte) (Settings, *decoder) {
	s := Default()
	d := &decoder{at: map[string]position{}}
	if len(content) > maxFileBytes {
		d.broke(Problem{Message: fmt.Sprintf("is larger than %d bytes", maxFileBytes)})
		return s, d
	}
	if t := tooDeep(content); t != nil {
		d.report("", t, fmt.Sprintf("is nested deeper than %d", maxNesting))
		d.broken = true
		return s, d
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		d.broke(problemOf("", err))
		return s, d
	}
	if len(file.Docs) > 1 {
		d.report("", file.Docs[1].Start, "there is more than one YAML document")
	}
	if len(file.Docs) > 0 {
		d.document(file.Docs[0].Body, &s)
	}
	return s, d
}
