package cli

import (
	"cmp"
	"errors"
	"io"
	"os"

	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/adapter/yamlset"
	"peardrift/internal/apply"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
)

// setArgs are the paths of a set's files.
type setArgs struct {
	Paths []string `positional-arg-name:"DIR" description:"directory of the set, or its files" required:"1"`
}

type validateCommand struct {
	*app
	Args setArgs `positional-args:"yes" required:"yes"`
}

// setSummary is the output of validate.
type setSummary struct {
	Tenant   request.Tenant `json:"tenant"`
	Share    float64        `json:"share"`
	Services int            `json:"services"`
	Classes  int            `json:"classes"`
	Digest   string         `json:"digest"`
	Bytes    int            `json:"bytes"`
}

func summarize(s configset.Set) (setSummary, error) {
	body, digest, err := configset.Encode(s)
	classes := 0
	for _, svc := range s.Services {
		classes += len(svc.Classes)
	}
	return setSummary{
		Tenant: s.Tenant, Share: s.Share, Services: len(s.Services), Classes: classes,
		Digest: digest.String(), Bytes: len(body),
	}, err
}

// Execute implements flags.Commander.
func (c *validateCommand) Execute([]string) error {
	set, err := yamlset.Load(c.Args.Paths...)
	if err != nil {
		return err
	}
	sum, err := summarize(set)
	if err != nil {
		return err
	}
	return c.printResult(sum, func(w io.Writer) {
		c.printf(w, "valid: tenant %s, share %g, %d services, %d classes, digest %s\n",
			sum.Tenant, sum.Share, sum.Services, sum.Classes, sum.Digest)
	})
}

type applyCommand struct {
	*app
	Base  int64    `long:"base" value-name:"N" required:"yes" description:"the accepted version that the set was made from; 0 for a tenant's first set"`
	By    string   `long:"by" env:"PEARDRIFT_BY" value-name:"NAME" description:"who applies, for the history (default: the user's name)"`
	Nodes []string `long:"node" value-name:"ADDR" description:"control address of a node to tell at once; may be repeated"`
	Args  setArgs  `positional-args:"yes" required:"yes"`
}

// applyResult is the output of apply.
type applyResult struct {
	Tenant    request.Tenant `json:"tenant"`
	Version   int64          `json:"version"`
	Digest    string         `json:"digest"`
	Settled   bool           `json:"settled"`
	Unchanged bool           `json:"unchanged"`
	Nodes     []notification `json:"nodes,omitempty"`
}

// notification is the result of notifying one node. A failure does not affect the
// accepted version: nodes also learn of it from each other and from the platform.
type notification struct {
	Addr    string `json:"addr"`
	InForce int64  `json:"inForce"`
	Error   string `json:"error,omitempty"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	if c.Base < 0 {
		return status.New(status.CodeInvalidSettings, "--base must not be negative")
	}
	if err := validateNodeAddrs(c.Nodes); err != nil {
		return err
	}
	set, err := yamlset.Load(c.Args.Paths...)
	if err != nil {
		return err
	}
	store, release, err := c.openStore()
	if err != nil {
		return err
	}
	defer release()
	by := cmp.Or(c.By, os.Getenv("USER"), "unknown")
	acc, err := store.Apply(c.ctx, set, c.Base, by)
	if err != nil {
		c.showConflict(store, err)
		return err
	}
	out := applyResult{
		Tenant: set.Tenant, Version: acc.Version, Digest: acc.Digest.String(),
		Settled: acc.AlreadyAccepted, Unchanged: acc.Unchanged,
		Nodes: c.notifyNodes(adminapi.HeadArgs{Tenant: set.Tenant, Version: acc.Version}),
	}
	return c.printResult(out, func(w io.Writer) { c.printText(w, out) })
}

func (c *applyCommand) notifyNodes(args adminapi.HeadArgs) []notification {
	out := make([]notification, len(c.Nodes))
	forEachNode(c.Nodes, func(i int, addr string) {
		reply, err := c.env.Nodes.NotifyHead(c.ctx, addr, args)
		out[i] = notification{Addr: addr, InForce: reply.InForce}
		if err != nil {
			out[i].Error = err.Error()
		}
	})
	return out
}

func (c *applyCommand) printText(w io.Writer, out applyResult) {
	outcome := "accepted"
	switch {
	case out.Settled:
		outcome = "had been accepted before"
	case out.Unchanged:
		outcome = "is accepted already, nothing changed"
	}
	c.printf(w, "%s: tenant %s, version %d, digest %s\n", outcome, out.Tenant, out.Version, out.Digest)
	for _, t := range out.Nodes {
		if t.Error != "" {
			c.printf(c.env.Stderr, "peardrift: node %s was not notified; it will learn the version from other nodes: %s\n", t.Addr, t.Error)
		}
	}
}

// showConflict prints, for a conflict, who applied which versions since the base.
func (c *applyCommand) showConflict(store *apply.Store, err error) {
	var conflict *apply.ConflictError
	if !errors.As(err, &conflict) || c.opts.Output == outputJSON {
		return
	}
	records, err := store.History(c.ctx, conflict.Tenant, int(min(conflict.Current-conflict.Base, maxConflictVersions)))
	if err != nil {
		return // the conflict itself is reported; the history is optional
	}
	for _, r := range records {
		c.printf(c.env.Stderr, "version %d was applied by %s at %s, digest %s\n",
			r.Version, r.By, r.At.Format(timeFormat), r.Digest)
	}
}
