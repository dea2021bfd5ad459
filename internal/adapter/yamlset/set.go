package yamlset

import (
	"github.com/goccy/go-yaml/ast"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// document is what one file declares.
type document struct {
	decoder
	hasTenant bool
	hasShare  bool

	hasOrganisations bool

	broken bool // its YAML could not be read at all
	set    configset.Set
}

func (d *document) root(n ast.Node) {
	d.mapping(n, "", map[string]binding{
		"tenant": {set: func(n ast.Node, field string) {
			d.hasTenant = true
			d.str((*string)(&d.set.Tenant))(n, field)
		}},
		"share": {set: func(n ast.Node, field string) {
			d.hasShare = true
			d.fraction(&d.set.Share)(n, field)
		}},
		"services": {set: func(n ast.Node, field string) { d.list(n, field, d.service) }},
		"organisations": {set: func(n ast.Node, field string) {
			d.hasOrganisations = true
			d.list(n, field, d.organisation)
		}},
	})
}

func (d *document) organisation(n ast.Node, field string) {
	var o configset.Organisation
	d.mapping(n, field, map[string]binding{
		"name": {required: true, set: d.str((*string)(&o.Name))},
		"keys": {set: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var digest string
				d.str(&digest)(n, field)
				k, err := configset.ParseKeyDigest(digest)
				if err != nil {
					d.fail(n, field, "%s", status.From(err).Detail)
				}
				o.Keys = append(o.Keys, k)
			})
		}},
		"rank":  {set: d.integer(&o.Rank)},
		"rate":  {set: d.fraction(&o.Rate)},
		"burst": {set: d.fraction(&o.Burst)},
	})
	d.set.Organisations = append(d.set.Organisations, o)
}

func (d *document) service(n ast.Node, field string) {
	var s configset.Service
	d.mapping(n, field, map[string]binding{
		"name":        {required: true, set: d.str(&s.Name)},
		"slots":       {required: true, set: d.integer(&s.Slots)},
		"connections": {required: true, set: d.integer(&s.Connections)},
		"calls": {set: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var name string
				d.str(&name)(n, field)
				s.Calls = append(s.Calls, request.Service(name))
			})
		}},
		"allow": {set: func(n ast.Node, field string) {
			d.list(n, field, func(n ast.Node, field string) {
				var name string
				d.str(&name)(n, field)
				s.Allow = append(s.Allow, request.Tenant(name))
			})
		}},
		"classes": {required: true, set: func(n ast.Node, field string) {
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
	remembers := false
	d.mapping(n, field, map[string]binding{
		"name":       {required: true, set: d.str((*string)(&c.Name))},
		"method":     {set: d.str(&c.Method)},
		"path":       {required: true, set: d.str(&c.Path)},
		"importance": {required: true, set: d.integer(&importance)},
		"deadline":   {set: d.duration(&c.Deadline)},
		"attempts":   {set: d.integer(&c.Attempts)},
		"atMostOnce": {set: d.boolean(&c.AtMostOnce)},
		"remember": {set: func(n ast.Node, field string) {
			remembers = true
			d.duration(&c.KeyRetention)(n, field)
		}},
		"maxBody":   {set: d.size(&c.MaxBody)},
		"anonymous": {set: d.boolean(&c.Anonymous)},
	})
	c.Importance = d.importance(n, field, importance)
	if c.AtMostOnce && !remembers {
		c.KeyRetention = configset.DefaultRemember
	}
	return c
}

// importance checks the range before the narrower type of the model cuts it.
func (d *document) importance(n ast.Node, field string, v int) request.Importance {
	if v < 0 || v > int(request.MaxImportance) {
		at := join(field, "importance")
		p := d.places[at]
		d.problems = append(d.problems, Problem{File: d.file, Line: p.line, Column: p.column,
			Field: at, Message: "must be 0 to 100"})
		return 0
	}
	return request.Importance(v)
}
