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

// decoder decodes a YAML tree into a struct one field at a time. The library's own decoder
// stops at its first problem, so operators would have to fix a file one mistake at a time.
type decoder struct {
	problems   []Problem
	positions  map[string]position // position of each field in the file
	unparsable bool                // the file could not be parsed as YAML
}

type position struct{ line, column int }

// decodeDocument decodes n into the struct that out points to.
func (d *decoder) decodeDocument(n ast.Node, out any) {
	d.decodeStruct("", n, reflect.ValueOf(out).Elem())
}

// decodeStruct sets the fields of v from the mapping n.
func (d *decoder) decodeStruct(path string, n ast.Node, v reflect.Value) {
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
	fields := fieldsByKey(v.Type())
	for _, value := range values {
		key := value.Key.GetToken()
		field := joinPath(path, key.Value)
		i, ok := fields[key.Value]
		if !ok {
			d.report(field, key, "is not a known key")
			continue
		}
		d.positions[field] = position{key.Position.Line, key.Position.Column}
		d.decodeValue(field, value.Value, v.Field(i))
	}
}

// decodeValue sets one field, which is a struct or a leaf.
func (d *decoder) decodeValue(field string, n ast.Node, v reflect.Value) {
	if v.Kind() == reflect.Struct {
		d.decodeStruct(field, n, v)
		return
	}
	if n == nil || n.Type() == ast.NullType {
		return
	}
	if !isPlain(n) {
		d.report(field, n.GetToken(), "must be a plain value: tags, anchors and aliases aren't supported")
		return
	}
	leaf := reflect.New(v.Type())
	if truncates(n, v) || yaml.NodeToValue(n, leaf.Interface()) != nil {
		d.report(field, n.GetToken(), "must be "+describeType(v.Interface()))
		return
	}
	v.Set(leaf.Elem())
}

// isPlain reports whether n is a scalar or a list of scalars. The library's decoder panics
// on some tagged values (such as "!x 0" for a list field), which would end the process with
// a stack trace instead of a problem with its position.
func isPlain(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.SequenceNode:
		return !slices.ContainsFunc(n.Values, func(v ast.Node) bool { return !isPlain(v) })
	case *ast.MappingNode, *ast.MappingValueNode:
		return true // wrong type, which the decoder reports itself
	default:
		_, scalar := n.(ast.ScalarNode)
		return scalar && n.Type() != ast.TagType && n.Type() != ast.AliasType && n.Type() != ast.AnchorType
	}
}

// truncates reports whether the library would silently drop a fraction: 1.5 would become 1
// without a problem.
func truncates(n ast.Node, v reflect.Value) bool {
	return n.Type() == ast.FloatType && v.CanInt()
}

// describeType describes the values that a setting accepts.
func describeType(setting any) string {
	switch setting.(type) {
	case time.Duration:
		return "a duration with its unit, such as 250ms or 5s"
	case int, int64:
		return "a whole number"
	case float64:
		return "a number"
	case []string:
		return "a list of strings"
	default:
		return "a string"
	}
}

// markUnparsable records why the file can't be parsed as YAML.
func (d *decoder) markUnparsable(p Problem) {
	d.problems = append(d.problems, p)
	d.unparsable = true
}

func (d *decoder) report(field string, t *token.Token, message string) {
	p := Problem{Field: field, Message: message}
	if t != nil && t.Position != nil {
		p.Line, p.Column = t.Position.Line, t.Position.Column
	}
	d.problems = append(d.problems, p)
}

// addPositions fills in the positions of the fields of ps in the file, or of the nearest
// enclosing section.
func (d *decoder) addPositions(ps []Problem) []Problem {
	for i := range ps {
		path := ps[i].Field
		for path != "" && ps[i].Line == 0 {
			at := d.positions[path]
			ps[i].Line, ps[i].Column = at.line, at.column
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
	}
	return ps
}

// yamlProblem converts an error of the YAML library into a problem.
func yamlProblem(field string, err error) Problem {
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

// fieldsByKey maps the keys of a struct type to its field indices.
func fieldsByKey(t reflect.Type) map[string]int {
	m := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		m[t.Field(i).Tag.Get("yaml")] = i
	}
	return m
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
