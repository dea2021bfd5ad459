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

// maxFileBytes bounds a settings file; a larger file indicates a wrong path.
const maxFileBytes = 64 << 10

// Load reads the file at path over the defaults. Its error is an *Invalid with all
// problems found, or a *status.Error if the file can't be read.
func Load(path string) (Settings, error) {
	b, err := read(path)
	if err != nil {
		return Settings{}, err
	}
	return Parse(path, b)
}

// LoadPlatform reads the section platform of the file at path over its defaults, for tools
// that need nothing else. Problems in other sections are ignored; a node reports them. The
// values in the section must be well formed; Platform.Complete reports missing ones. Its
// errors are those of Load.
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
		return Platform{}, newInvalid(path, ps)
	}
	return s.Platform, nil
}

// read returns a file's content, at most maxFileBytes+1 bytes.
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

// Parse is Load for a file's content; name is used only in problems.
func Parse(name string, content []byte) (Settings, error) {
	s, d := decode(content)
	if d.unparsable {
		return Settings{}, newInvalid(name, d.problems)
	}
	ps := append(d.problems, d.addPositions(validate(&s))...)
	ps = append(ps, d.addPositions(resolveKeys(&s.Platform, os.Getenv))...)
	if len(ps) > 0 {
		return Settings{}, newInvalid(name, ps)
	}
	if s.Node.Instance == "" {
		s.Node.Instance = s.Node.Name
	}
	return s, nil
}

// decode decodes a file's content over the defaults. If the content isn't valid YAML, it
// sets nothing and the decoder is marked unparsable.
func decode(content []byte) (Settings, *decoder) {
	s := Default()
	d := &decoder{positions: map[string]position{}}
	if len(content) > maxFileBytes {
		d.markUnparsable(Problem{Message: fmt.Sprintf("is larger than %d bytes", maxFileBytes)})
		return s, d
	}
	if t := findTooDeep(content); t != nil {
		d.report("", t, fmt.Sprintf("is nested deeper than %d", maxNesting))
		d.unparsable = true
		return s, d
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		d.markUnparsable(yamlProblem("", err))
		return s, d
	}
	if len(file.Docs) > 1 {
		d.report("", file.Docs[1].Start, "there is more than one YAML document")
	}
	if len(file.Docs) > 0 {
		d.decodeDocument(file.Docs[0].Body, &s)
	}
	return s, d
}
