package yamlset

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"peardrift/internal/core/configset"
)

// Bounds of the input.
const (
	MaxFiles    = 1024
	MaxFileSize = 1 << 20 // bytes
	MaxSize     = 8 << 20 // bytes in all

	// maxNesting bounds nested collections. The parser's time grows with the
	// square of the nesting, so a megabyte of "[" would hold it for minutes; a
	// set needs six levels.
	maxNesting = 32
)

// File is the content of one file, by the name that problems show.
type File struct {
	Name string
	Body []byte
}

// Parse reads a set from its files. The error is Problems if the set is not
// valid. The set has no version: its acceptance gives one.
func Parse(files ...File) (configset.Set, error) {
	if ps := checkSizes(files); len(ps) > 0 {
		return configset.Set{}, ps
	}
	docs := make([]*document, len(files))
	for i, f := range files {
		docs[i] = parseFile(f)
	}
	set, problems := merge(docs)
	problems = append(problems, validate(set, docs)...)
	if len(problems) > 0 {
		return configset.Set{}, problems.sorted()
	}
	return set, nil
}

func checkSizes(files []File) Problems {
	var ps Problems
	if len(files) == 0 {
		ps = append(ps, Problem{Message: "there is no file with the ending .yaml or .yml"})
	}
	if len(files) > MaxFiles {
		ps = append(ps, Problem{Message: fmt.Sprintf("%d files, at most %d are allowed", len(files), MaxFiles)})
	}
	total := 0
	for _, f := range files {
		total += len(f.Body)
		if len(f.Body) > MaxFileSize {
			ps = append(ps, Problem{File: f.Name, Message: fmt.Sprintf("is longer than %d bytes", MaxFileSize)})
		}
	}
	if total > MaxSize {
		ps = append(ps, Problem{Message: fmt.Sprintf("%d bytes in all, at most %d are allowed", total, MaxSize)})
	}
	return ps
}

func parseFile(f File) *document {
	d := &document{decoder: decoder{file: f.Name, places: make(map[string]place)}}
	tokens := lexer.Tokenize(string(f.Body))
	if t := tooDeep(tokens); t != nil {
		d.syntax(t, fmt.Sprintf("is nested deeper than %d levels", maxNesting))
		return d
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntaxError(err)
		return d
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		d.syntax(nil, "must hold one YAML document")
		return d
	}
	d.root(tree.Docs[0].Body)
	return d
}

func (d *document) syntax(at *token.Token, message string) {
	p := placeOfToken(at)
	d.broken = true
	d.problems = append(d.problems, Problem{File: d.file, Line: p.line, Column: p.column, Message: message})
}

func (d *document) syntaxError(err error) {
	var located yaml.Error
	if errors.As(err, &located) {
		d.syntax(located.GetToken(), located.GetMessage())
		return
	}
	d.syntax(nil, err.Error())
}

// tooDeep returns the token at which collections nest too deep, nil if none.
func tooDeep(tokens token.Tokens) *token.Token {
	flow, entries, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, entries = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType, token.MappingKeyType:
			entries++
		}
		// Blocks nest by their column too: each level needs one more.
		if flow+entries > maxNesting || t.Type == token.SequenceEntryType && t.Position.Column > 4*maxNesting {
			return t
		}
	}
	return nil
}

// merge joins what the files declare.
func merge(docs []*document) (configset.Set, Problems) {
	var set configset.Set
	var problems Problems
	var tenantIn, shareIn, organisationsIn *document
	for _, d := range docs {
		problems = append(problems, d.problems...)
		if d.hasTenant {
			problems = append(problems, twice(tenantIn, d, "tenant")...)
			set.Tenant, tenantIn = d.set.Tenant, d
		}
		if d.hasShare {
			problems = append(problems, twice(shareIn, d, "share")...)
			set.Share, shareIn = d.set.Share, d
		}
		if d.hasOrganisations {
			problems = append(problems, twice(organisationsIn, d, "organisations")...)
			set.Organisations, organisationsIn = d.set.Organisations, d
		}
		set.Services = append(set.Services, d.set.Services...)
	}
	return set, problems
}

// twice is the problem of a field that an earlier file declares already.
func twice(earlier, d *document, field string) Problems {
	if earlier == nil {
		return nil
	}
	at := d.places[field]
	return Problems{{File: d.file, Line: at.line, Column: at.column, Field: field,
		Message: "is already declared in " + earlier.file}}
}

// validate finds the problems of the set as a whole and gives them the places
// of their fields.
func validate(set configset.Set, docs []*document) Problems {
	var out Problems
	partial := isPartial(docs)
	for _, p := range configset.Validate(set) {
		if partial && dependsOnOthers(p.Field) {
			continue
		}
		d, field := locate(p.Field, docs)
		if d == nil {
			out = append(out, Problem{Field: field, Message: p.Message})
			continue
		}
		if d.reported(field) {
			continue
		}
		at := d.nearest(field)
		out = append(out, Problem{File: d.file, Line: at.line, Column: at.column, Field: field, Message: p.Message})
	}
	return out
}

// isPartial reports whether some file's services are not known, so that
// statements about all of them would mislead.
func isPartial(docs []*document) bool {
	for _, d := range docs {
		if d.broken {
			return true
		}
		for _, p := range d.problems {
			if p.Field == "services" || strings.HasSuffix(p.Field, ".name") {
				return true
			}
		}
	}
	return false
}

// dependsOnOthers reports whether a problem of this field may come from what
// another file declares.
func dependsOnOthers(field string) bool {
	return !strings.HasPrefix(field, "services[") || strings.Contains(field, ".calls[")
}

const servicePrefix = "services["

// locate returns the file that declares a field of the whole set, and the
// field's path inside that file.
func locate(field string, docs []*document) (*document, string) {
	rest, ok := strings.CutPrefix(field, servicePrefix)
	if !ok {
		return declaring(field, docs), field
	}
	number, rest, _ := strings.Cut(rest, "]")
	i, err := strconv.Atoi(number)
	if err != nil {
		return nil, field
	}
	for _, d := range docs {
		if n := len(d.set.Services); i >= n {
			i -= n
			continue
		}
		return d, fmt.Sprintf("%s%d]%s", servicePrefix, i, rest)
	}
	return nil, field
}

// declaring returns the last file that has a value for a field of the root.
func declaring(field string, docs []*document) *document {
	var found *document
	for _, d := range docs {
		if _, ok := d.places[field]; ok {
			found = d
		}
	}
	return found
}

// reported reports whether the field has a problem already: a value that could
// not be read would only be complained of twice.
func (d *document) reported(field string) bool {
	for _, p := range d.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// nearest returns the place of a field, or of the innermost one around it that
// the file has.
func (d *document) nearest(field string) place {
	for {
		if at, ok := d.places[field]; ok {
			return at
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return place{line: 1, column: 1}
		}
		field = field[:i]
	}
}
