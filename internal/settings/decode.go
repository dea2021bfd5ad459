package settings

import (
	"errors"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// decoder sets a struct from a YAML tree one field at a time. The library's
// own decoder ends at its first problem; operators would then mend a file in
// as many rounds as it has mistakes.
type decoder struct {
	problems []Problem
	at       map[string]position // of each field that the file has
	broken   bool                // the file could not be read as YAML
}

type position struct{ line, column int }

// document sets the struct that out points to.
func (d *decoder) document(n ast.Node, out any) {
	d.structure("", n, reflect.ValueOf(out).Elem())
}

// structure sets the fields of v from the mapping n.
func (d *decoder) structure(path string, n ast.Node, v reflect.Value) {
	var values []*ast.MappingValueNode
	switch m := n.(type) {
	case nil, *ast.NullNode, *ast.CommentGroupNode:
		return
	case *ast.MappingNode:
		values = m.Values
	case *ast.MappingValueNode:
		values = []*ast.MappingValueNode{m}
	default:
		d.report(path, n.GetToken(), "must be a mapping of keys to values")
		return
	}
	fields := fieldsOf(v.Type())
	for _, value := range values {
		key := value.Key.GetToken()
		field := join(path, key.Value)
		i, ok := fields[key.Value]
		if !ok {
			d.report(field, key, "is not a known key")
			continue
		}
		d.at[field] = position{key.Position.Line, key.Position.Column}
		d.value(field, value.Value, v.Field(i))
	}
}

// value sets one field, which is a struct or a leaf.
func (d *decoder) value(field string, n ast.Node, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		d.structure(field, n, v)
		return
	}
	if n == nil || n.Type() == ast.NullType {
		return
	}
	if !plain(n) {
		d.report(field, n.GetToken(), "must be a plain value: tags, anchors and aliases aren't supported")
		return
	}
	leaf := reflect.New(v.Type())
	if truncates(n, v) || yaml.NodeToValue(n, leaf.Interface()) != nil {
		d.report(field, n.GetToken(), "must be "+expected(v.Interface()))
		return
	}
	v.Set(leaf.Elem())
}

// plain reports whether n is a scalar or a list of scalars. The library's
// decoder panics on some tagged values (a list field given "!x 0"), which would
// end the process with a stack trace instead of a problem with its place.
func plain(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.SequenceNode:
		return !slices.ContainsFunc(n.Values, func(v ast.Node) bool { return !plain(v) })
	case *ast.MappingNode, *ast.MappingValueNode:
		return true // of the wrong kind, which the decoder says itself
	default:
		_, scalar := n.(ast.ScalarNode)
		return scalar && n.Type() != ast.TagType && n.Type() != ast.AliasType && n.Type() != ast.AnchorType
	}
}

// truncates reports whether the library would silently cut a fraction off: an
// operator who writes 1.5 would get 1 and no word about it.
func truncates(n ast.Node, v reflect.Value) bool {
	return n.Type() == ast.FloatType && v.CanInt()
}

// expected says in words which values fit a setting.
func expected(setting any) string {
	switch setting.(type) {
	case time.Duration:
		return "a duration with its unit, such as 250ms or 5s"
	case int, int64:
		return "a whole number"
	case float64:
		return "a number"
	case []string:
		return "a list of texts"
	default:
		return "a text"
	}
}

// broke notes why the file can't be read as YAML.
func (d *decoder) broke(p Problem) {
	d.problems = append(d.problems, p)
	d.broken = true
}

func (d *decoder) report(field string, t *token.Token, message string) {
	p := Problem{Field: field, Message: message}
	if t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	d.problems = append(d.problems, p)
}

// locate fills in where the file has the fields of ps, or the nearest section
// around them.
func (d *decoder) locate(ps []Problem) []Problem {
	for i := range ps {
		path := ps[i].Field
		for path != "" && ps[i].Line == 0 {
			at := d.at[path]
			ps[i].Line, ps[i].Column = at.line, at.column
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
	}
	return ps
}

// problemOf turns an error of the YAML library into a problem.
func problemOf(field string, err error) Problem {
	p := Problem{Field: field, Message: err.Error()}
	var e yaml.Error
	if errors.As(err, &e) {
		p.Message = e.GetMessage()
		if t := e.GetToken(); t != nil && t.Position != nil {
			p.Line, p.Column = t.Position.Line, t.Position.Column
		}
	}
	return p
}

// fieldsOf maps the keys of a struct type to its field indices.
func fieldsOf(t reflect.Type) map[string]int {
	m := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		m[t.Field(i).Tag.Get("yaml")] = i
	}
	return m
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
