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

// place is a position in a file, both from 1.
type place struct{ line, column int }

// decoder binds the nodes of one file and gathers its problems. It remembers
// where each field stands, so that problems found later, by the validation of
// the whole set, can name the place too.
type decoder struct {
	file     string
	problems Problems
	places   map[string]place
}

// binding says how the value of one key is taken.
type binding struct {
	required bool
	set      func(n ast.Node, field string)
}

func (d *decoder) fail(n ast.Node, field, format string, args ...any) {
	at := placeOf(n)
	d.problems = append(d.problems, Problem{
		File: d.file, Line: at.line, Column: at.column, Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// mapping binds the keys of a mapping; field is the path of the mapping.
func (d *decoder) mapping(n ast.Node, field string, keys map[string]binding) {
	d.places[field] = placeOf(n)
	values, ok := mappingValues(n)
	if !ok {
		d.fail(n, field, "must be a mapping, not %s", kind(n))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		d.entry(v, field, keys, seen)
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if keys[key].required && !seen[key] {
			d.fail(n, join(field, key), "is missing")
		}
	}
}

func (d *decoder) entry(v *ast.MappingValueNode, field string, keys map[string]binding, seen map[string]bool) {
	key, ok := v.Key.(*ast.StringNode)
	if !ok {
		d.fail(v.Key, field, "has a key that is no plain string")
		return
	}
	at := join(field, key.Value)
	b, known := keys[key.Value]
	switch {
	case !known:
		d.fail(v.Key, at, "unknown key; known are %s", strings.Join(slices.Sorted(maps.Keys(keys)), ", "))
	case seen[key.Value]:
		d.fail(v.Key, at, "is given twice")
	default:
		seen[key.Value] = true
		d.places[at] = placeOf(v.Value)
		if _, null := v.Value.(*ast.NullNode); null {
			d.fail(v.Key, at, "has no value")
			return
		}
		b.set(v.Value, at)
	}
}

// list calls each for the elements of a sequence.
func (d *decoder) list(n ast.Node, field string, each func(n ast.Node, field string)) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.fail(n, field, "must be a list, not %s", kind(n))
		return
	}
	for i, v := range seq.Values {
		at := fmt.Sprintf("%s[%d]", field, i)
		d.places[at] = placeOf(v)
		each(v, at)
	}
}

func (d *decoder) str(dst *string) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		switch s := n.(type) {
		case *ast.StringNode:
			*dst = s.Value
		case *ast.LiteralNode:
			d.fail(n, field, "must be a string on one line")
		default:
			d.fail(n, field, "must be a string, not %s", kind(n))
		}
	}
}

func (d *decoder) boolean(dst *bool) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		if b, ok := n.(*ast.BoolNode); ok {
			*dst = b.Value
			return
		}
		d.fail(n, field, "must be true or false, not %s", kind(n))
	}
}

// integer takes whole numbers of 32 bits; tighter bounds are the model's.
func (d *decoder) integer(dst *int) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		v, ok := wholeNumber(n)
		if !ok {
			d.fail(n, field, "must be a whole number, not %s", kind(n))
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
			d.fail(n, field, "must be a number, not %s", kind(n))
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
			d.fail(n, field, "must be a duration with a unit, for example 800ms or 2s")
			return
		}
		*dst = v
	}
}

// size takes bytes as a whole number or with a unit, for example 25MiB.
func (d *decoder) size(dst *int64) func(ast.Node, string) {
	return func(n ast.Node, field string) {
		if v, ok := wholeNumber(n); ok {
			*dst = int64(v)
			return
		}
		s, ok := n.(*ast.StringNode)
		if !ok {
			d.fail(n, field, "must be a size, not %s", kind(n))
			return
		}
		v, err := humanize.ParseBytes(s.Value)
		if err != nil || v > math.MaxInt64 {
			d.fail(n, field, "must be a size in bytes or with a unit, for example 25MiB")
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

// placeOf returns where a node begins; the parser gives a mapping the place of
// its first colon.
func placeOf(n ast.Node) place {
	if values, ok := mappingValues(n); ok && len(values) > 0 {
		n = values[0].Key
	}
	return placeOfToken(n.GetToken())
}

func placeOfToken(t *token.Token) place {
	if t == nil || t.Position == nil {
		return place{line: 1, column: 1}
	}
	return place{line: t.Position.Line, column: t.Position.Column}
}

// kind names a node for operators.
func kind(n ast.Node) string {
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
