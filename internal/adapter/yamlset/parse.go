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

// Limits of the input.
const (
	MaxFiles    = 1024
	MaxFileSize = 1 << 20 // bytes
	MaxSize     = 8 << 20 // bytes of all files together

	// maxNesting limits nested collections. The parser takes time quadratic in the
	// nesting depth, minutes for a megabyte of "["; a set needs six levels.
	maxNesting = 32
)

// File is the name of a file, as shown in problems, and its content.
type File struct {
	Name string
	Body []byte
}

// Parse parses a set from its files. The error is Problems if the set is not
// valid. The set has no version: it gets one when it is accepted.
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
		ps = append(ps, Problem{Message: "no file with the extension .yaml or .yml"})
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
		ps = append(ps, Problem{Message: fmt.Sprintf("%d bytes in total, at most %d are allowed", total, MaxSize)})
	}
	return ps
}

func parseFile(f File) *document {
	d := &document{decoder: decoder{file: f.Name, positions: make(map[string]position)}}
	tokens := lexer.Tokenize(string(f.Body))
	if t := findTooDeep(tokens); t != nil {
		d.addSyntaxProblem(t, fmt.Sprintf("is nested deeper than %d levels", maxNesting))
		return d
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addParseError(err)
		return d
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		d.addSyntaxProblem(nil, "must hold one YAML document")
		return d
	}
	d.root(tree.Docs[0].Body)
	return d
}

func (d *document) addSyntaxProblem(at *token.Token, message string) {
	pos := positionOfToken(at)
	d.unparsable = true
	d.problems = append(d.problems, Problem{File: d.file, Line: pos.line, Column: pos.column, Message: message})
}

func (d *document) addParseError(err error) {
	var located yaml.Error
	if errors.As(err, &located) {
		d.addSyntaxProblem(located.GetToken(), located.GetMessage())
		return
	}
	d.addSyntaxProblem(nil, err.Error())
}

// findTooDeep returns the first token nested deeper than maxNesting, nil if none.
func findTooDeep(tokens token.Tokens) *token.Token {
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
		// Block collections nest by indentation: each level adds at least one column.
		if flow+entries > maxNesting || t.Type == token.SequenceEntryType && t.Position.Column > 4*maxNesting {
			return t
		}
	}
	return nil
}

// merge combines the declarations of all files into one set.
func merge(docs []*document) (configset.Set, Problems) {
	var set configset.Set
	var problems Problems
	var tenantIn, shareIn, organisationsIn *document
	for _, d := range docs {
		problems = append(problems, d.problems...)
		if d.hasTenant {
			problems = append(problems, duplicateField(tenantIn, d, "tenant")...)
			set.Tenant, tenantIn = d.set.Tenant, d
		}
		if d.hasShare {
			problems = append(problems, duplicateField(shareIn, d, "share")...)
			set.Share, shareIn = d.set.Share, d
		}
		if d.hasOrganisations {
			problems = append(problems, duplicateField(organisationsIn, d, "organisations")...)
			set.Organisations, organisationsIn = d.set.Organisations, d
		}
		set.Services = append(set.Services, d.set.Services...)
	}
	return set, problems
}

// duplicateField returns a problem if an earlier file already declares the field.
func duplicateField(earlier, d *document, field string) Problems {
	if earlier == nil {
		return nil
	}
	at := d.positions[field]
	return Problems{{File: d.file, Line: at.line, Column: at.column, Field: field,
		Message: "is already declared in " + earlier.file}}
}

// validate returns the problems of the set as a whole, with the positions of
// their fields.
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
		if d.hasProblem(field) {
			continue
		}
		at := d.nearestPosition(field)
		out = append(out, Problem{File: d.file, Line: at.line, Column: at.column, Field: field, Message: p.Message})
	}
	return out
}

// isPartial reports whether the services of some file could not be read, so that
// checks across all services would be misleading.
func isPartial(docs []*document) bool {
	for _, d := range docs {
		if d.unparsable {
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

// dependsOnOthers reports whether a problem of this field may depend on
// declarations in another file.
func dependsOnOthers(field string) bool {
	return !strings.HasPrefix(field, "services[") || strings.Contains(field, ".calls[")
}

const servicePrefix = "services["

// locate returns the file that declares a field of the merged set, and the
// field's path inside that file.
func locate(field string, docs []*document) (*document, string) {
	rest, ok := strings.CutPrefix(field, servicePrefix)
	if !ok {
		return lastDeclaring(field, docs), field
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

// lastDeclaring returns the last file that declares a top-level field.
func lastDeclaring(field string, docs []*document) *document {
	var found *document
	for _, d := range docs {
		if _, ok := d.positions[field]; ok {
			found = d
		}
	}
	return found
}

// hasProblem reports whether the field already has a problem. It avoids a second
// report for a value that could not be decoded.
func (d *document) hasProblem(field string) bool {
	for _, p := range d.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// nearestPosition returns the position of a field, or of its innermost enclosing
// field that the file has.
func (d *document) nearestPosition(field string) position {
	for {
		if at, ok := d.positions[field]; ok {
			return at
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return position{line: 1, column: 1}
		}
		field = field[:i]
	}
}
