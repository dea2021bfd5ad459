package yamlset

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// position is a position in a file; line and column count from 1.
type position struct{ line, column int }

// decoder decodes the nodes of one file and collects its problems. It records
// the position of each field, so that problems found later by the validation of
// the whole set have a position too.
type decoder struct {
	file      string
	problems  Problems
	positions map[string]position
}

// binding describes how the value of one key is decoded.
type binding struct {
	required bool
	decode   func(n ast.Node, field string)
}

func (d *decoder) addProblem(n ast.Node, field, format string, args ...any) {
	at := positionOf(n)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Column: at.column, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// mapping decodes the keys of a mapping; field is the path of the mapping.
func (d *decoder) mapping(n ast.Node, field string, keys map[string]binding) {
	d.positions[field] = positionOf(n)
	values, ok := mappingValues(n)
	if !ok {
		d.addProblem(n, field, "must be a mapping, not %s", kindName(n))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		d.entry(v, field, keys, seen)
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if keys[key].required && !seen[key] {
			d.addProblem(n, join(field, key), "is missing")
		}
	}
}

func (d *decoder) entry(v *ast.MappingValueNode, field string, keys map[string]binding, seen map[string]bool) {
	key, ok := v.Key.(*ast.StringNode)
	if !ok {
		d.addProblem(v.Key, field, "has a key that is not a plain string")
		return
	}
	at := join(field, key.Value)
	b, known := keys[key.Value]
	switch {
	case !known:
		d.addProblem(v.Key, at, "unknown key; known are %s", strings.Join(slices.Sorted(maps.Keys(keys)), ", "))
	case seen[key.Value]:
		d.addProblem(v.Key, at, "is given twice")
	default:
		seen[key.Value] = true
		d.positions[at] = positionOf(v.Value)
		if _, null := v.Value.(*ast.NullNode); null {
			d.addProblem(v.Key, at, "has no value")
			return
		}
		b.decode(v.Value, at)
	}
}

// list calls each for every element of a sequence.
func (d *decoder) list(n ast.Node, field string, each func(n ast.Node, field string)) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addProblem(n, field, "must be a list, not %s", kindName(n))
		return
	}
	for i, v := range seq.Values {
		at := fmt.Sprintf("%s[%d]", field, i)
		d.positions[at] = positionOf(v)
		each(v, at)
	}
}

func (d *decoder) str(dst *string) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		switch s := n.(type) {
		case *ast.StringNode:
			*dst = s.Value
		case *ast.LiteralNode:
			d.addProblem(n, field, "must be a string on one line")
		default:
			d.addProblem(n, field, "must be a string, not %s", kindName(n))
		}
	}
}

func (d *decoder) boolean(dst *bool) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		if b, ok := n.(*ast.BoolNode); ok {
			*dst = b.Value
			return
		}
		d.addProblem(n, field, "must be true or false, not %s", kindName(n))
	}
}

// integer decodes whole numbers of 32 bits; configset checks tighter bounds.
func (d *decoder) integer(dst *int) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		v, ok := wholeNumber(n)
		if !ok {
			d.addProblem(n, field, "must be a whole number, not %s", kindName(n))
			return
		}
		*dst = v
	}
}

func (d *decoder) fraction(dst *float64) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		if f, ok := n.(*ast.FloatNode); ok {
			*dst = f.Value
			return
		}
		v, ok := wholeNumber(n)
		if !ok {
			d.addProblem(n, field, "must be a number, not %s", kindName(n))
			return
		}
		*dst = float64(v)
	}
}

func (d *decoder) duration(dst *time.Duration) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		var text string
		if s, ok := n.(*ast.StringNode); ok {
			text = s.Value
		}
		v, err := time.ParseDuration(text)
		if err != nil {
			d.addProblem(n, field, "must be a duration with a unit, for example 800ms or 2s")
			return
		}
		*dst = v
	}
}

// size decodes bytes as a whole number or with a unit, for example 25MiB.
func (d *decoder) size(dst *int64) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		if v, ok := wholeNumber(n); ok {
			*dst = int64(v)
			return
		}
		s, ok := n.(*ast.StringNode)
		if !ok {
			d.addProblem(n, field, "must be a size, not %s", kindName(n))
			return
		}
		v, err := humanize.ParseBytes(s.Value)
		if err != nil || v > math.MaxInt64 {
			d.addProblem(n, field, "must be a size in bytes or with a unit, for example 25MiB")
			return
		}
		*dst = int64(v)
	}
}

func wholeNumber(n ast.Node) (int, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch v := i.Value.(type) {
	case uint64:
		return int(v), v <= math.MaxInt32
	case int64:
		return int(v), v >= math.MinInt32
	default:
		return 0, false
	}
}

func mappingValues(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch m := n.(type) {
	case *ast.MappingNode:
		return m.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{m}, true
	default:
		return nil, false
	}
}

// positionOf returns where a node begins. For a mapping that is its first key,
// since the parser reports the position of its first colon.
func positionOf(n ast.Node) position {
	if values, ok := mappingValues(n); ok && len(values) > 0 {
		n = values[0].Key
	}
	return positionOfToken(n.GetToken())
}

func positionOfToken(t *token.Token) position {
	if t == nil || t.Position == nil {
		return position{line: 1, column: 1}
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

// kindName describes the type of a node in error messages.
func kindName(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "this number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.NullNode:
		return "nothing"
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		return "an anchor, alias or tag"
	default:
		return "something else"
	}
}

func join(field, key string) string {
	if field == "" {
		return key
	}
	return field + "." + key
}
