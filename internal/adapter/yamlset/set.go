package yamlset

import (
	"github.com/goccy/go-yaml/ast"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// document holds the declarations of one file.
type document struct {
	decoder
	hasTenant bool
	hasShare  bool

	hasOrganisations bool

	unparsable bool // its YAML could not be parsed
	set        configset.Set
}

func (d *document) root(n ast.Node) {
	d.mapping(n, "", map[string]binding{
		"tenant": {decode: func(n ast.Node, field string) {
			d.hasTenant = true
			d.str((*string)(&d.set.Tenant))(n, field)
		}},
		"share": {decode: func(n ast.Node, field string) {
			d.hasShare = true
			d.fraction(&d.set.Share)(n, field)
		}},
		"services": {decode: func(n ast.Node, field string) { d.list(n, field, d.service) }},
		"organisations": {decode: func(n ast.Node, field string) {
			d.hasOrganisations = true
			d.list(n, field, d.organisation)
		}},
	})
}

func (d *document) organisation(n ast.Node, field string) {
	var o configset.Organisation
	d.mapping(n, field, map[string]binding{
		"name": {required: true, decode: d.str((*string)(&o.Name))},
		"keys": {decode: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var digest string
				d.str(&digest)(n, field)
				k, err := configset.ParseKeyDigest(digest)
				if err != nil {
					d.addProblem(n, field, "%s", status.From(err).Detail)
				}
				o.Keys = append(o.Keys, k)
			})
		}},
		"rank":  {decode: d.integer(&o.Rank)},
		"rate":  {decode: d.fraction(&o.Rate)},
		"burst": {decode: d.fraction(&o.Burst)},
	})
	d.set.Organisations = append(d.set.Organisations, o)
}

func (d *document) service(n ast.Node, field string) {
	var s configset.Service
	d.mapping(n, field, map[string]binding{
		"name":        {required: true, decode: d.str(&s.Name)},
		"slots":       {required: true, decode: d.integer(&s.Slots)},
		"connections": {required: true, decode: d.integer(&s.Connections)},
		"calls": {decode: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var name string
				d.str(&name)(n, field)
				s.Calls = append(s.Calls, request.Service(name))
			})
		}},
		"allow": {decode: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var name string
				d.str(&name)(n, field)
				s.Allow = append(s.Allow, request.Tenant(name))
			})
		}},
		"classes": {required: true, decode: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				s.Classes = append(s.Classes, d.class(n, field))
			})
		}},
	})
	d.set.Services = append(d.set.Services, s)
}

func (d *document) class(n ast.Node, field string) configset.Class {
	c := configset.Class{
		Deadline: configset.DefaultDeadline,
		Attempts: configset.DefaultAttempts,
		MaxBody:  configset.DefaultMaxBody,
	}
	var importance int
	hasKeyRetention := false
	d.mapping(n, field, map[string]binding{
		"name":       {required: true, decode: d.str((*string)(&c.Name))},
		"method":     {decode: d.str(&c.Method)},
		"path":       {required: true, decode: d.str(&c.Path)},
		"importance": {required: true, decode: d.integer(&importance)},
		"deadline":   {decode: d.duration(&c.Deadline)},
		"objective":  {decode: d.duration(&c.Objective)},
		"attempts":   {decode: d.integer(&c.Attempts)},
		"atMostOnce": {decode: d.boolean(&c.AtMostOnce)},
		"remember": {decode: func(n ast.Node, field string) {
			hasKeyRetention = true
			d.duration(&c.KeyRetention)(n, field)
		}},
		"maxBody":   {decode: d.size(&c.MaxBody)},
		"anonymous": {decode: d.boolean(&c.Anonymous)},
	})
	c.Importance = d.importance(n, field, importance)
	if c.AtMostOnce && !hasKeyRetention {
		c.KeyRetention = configset.DefaultKeyRetention
	}
	return c
}

// importance checks the range before the conversion to a narrower type truncates
// the value.
func (d *document) importance(n ast.Node, field string, v int) request.Importance {
	if v < 0 || v > int(request.MaxImportance) {
		at := join(field, "importance")
		p := d.positions[at]
		d.problems = append(d.problems, Problem{File: d.file, Line: p.line, Column: p.column,
			Field: at, Message: "must be 0 to 100"})
		return 0
	}
	return request.Importance(v)
}
