package cli

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"peardrift/internal/adapter/rpc/adminapi"
	"peardrift/internal/adapter/yamlset"
	"peardrift/internal/apply"
	"peardrift/internal/buildinfo"
	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

const (
	timeFormat = time.RFC3339
	maxShown   = 20
)

// record is an accepted version in output.
type record struct {
	Tenant  request.Tenant `json:"tenant"`
	Version int64          `json:"version"`
	Digest  string         `json:"digest"`
	Bytes   int            `json:"bytes"`
	Share   float64        `json:"share"`
	By      string         `json:"by"`
	At      time.Time      `json:"at"`
}

func recordOf(r apply.Record) record {
	return record{Tenant: r.Tenant, Version: r.Version, Digest: r.Digest.String(),
		Bytes: r.Bytes, Share: r.Share, By: r.By, At: r.At}
}

func (a *app) table(w io.Writer, records []record) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	a.printf(t, "TENANT\tVERSION\tSHARE\tBYTES\tBY\tAT\tDIGEST\n")
	for _, r := range records {
		a.printf(t, "%s\t%d\t%g\t%d\t%s\t%s\t%s\n",
			r.Tenant, r.Version, r.Share, r.Bytes, r.By, r.At.Format(timeFormat), r.Digest)
	}
	_ = t.Flush() // as printf
}

type statusCommand struct {
	*app
	Nodes []string `long:"node" value-name:"ADDR" description:"control address of a node to ask; may be repeated"`
}

type statusResult struct {
	Accepted []record     `json:"accepted"`
	Nodes    []nodeStatus `json:"nodes,omitempty"`
	Error    *failure     `json:"error,omitempty"` // the first failure, which decides the exit code
}

type nodeStatus struct {
	Addr   string                `json:"addr"`
	Status *adminapi.StatusReply `json:"status,omitempty"`
	Error  string                `json:"error,omitempty"`
}

// Execute implements flags.Commander. Nodes are asked also when the platform is
// down, as that is when one wants to know; the failure decides the exit code.
func (c *statusCommand) Execute([]string) error {
	if err := checkNodes(c.Nodes); err != nil {
		return err
	}
	var out statusResult
	var failed error
	out.Accepted, failed = c.accepted()
	out.Nodes = make([]nodeStatus, len(c.Nodes))
	faults := make([]error, len(c.Nodes))
	each(c.Nodes, func(i int, addr string) { out.Nodes[i], faults[i] = c.ask(addr) })
	for _, err := range faults {
		if failed == nil {
			failed = err
		}
	}
	if failed == nil {
		return c.show(out, func(w io.Writer) { c.text(w, out) })
	}
	if len(out.Nodes) == 0 {
		return failed
	}
	f := failureOf(failed)
	out.Error = &f
	if err := c.show(out, func(w io.Writer) { c.text(w, out) }); err != nil {
		return err
	}
	return shown{failed}
}

func (c *statusCommand) ask(addr string) (nodeStatus, error) {
	reply, err := c.env.Nodes.Status(c.ctx, addr)
	if err != nil {
		return nodeStatus{Addr: addr, Error: err.Error()}, err
	}
	return nodeStatus{Addr: addr, Status: &reply}, nil
}

func (c *statusCommand) accepted() ([]record, error) {
	store, done, err := c.store()
	if err != nil {
		return nil, err
	}
	defer done()
	tenants, _, err := store.Tenants(c.ctx)
	if err != nil {
		return nil, err
	}
	out := make([]record, 0, len(tenants))
	for _, t := range tenants {
		head, err := store.Head(c.ctx, t)
		if err != nil {
			return out, err
		}
		out = append(out, recordOf(head))
	}
	return out, nil
}

func (c *statusCommand) text(w io.Writer, out statusResult) {
	c.table(w, out.Accepted)
	for _, n := range out.Nodes {
		if n.Status == nil {
			c.printf(w, "node %s: %s\n", n.Addr, n.Error)
			continue
		}
		s := n.Status
		c.printf(w, "node %s: %s of %s in %s, ready %t, leaving %t, %d members\n",
			n.Addr, s.Node, s.Service, s.Zone, s.Ready, s.Leaving, s.Members)
		for _, why := range s.NotReady {
			c.printf(w, "  not ready: %s\n", why)
		}
		c.printf(w, "  target: %s\n", gateText(s.Gate))
		for _, t := range s.Tenants {
			c.printf(w, "  %s: version %d in force, %d known\n", t.Tenant, t.InForce, t.Known)
		}
	}
}

func gateText(g adminapi.GateStatus) string {
	refuses := "nothing"
	if g.Level > 0 {
		refuses = fmt.Sprintf("what is less important than %.1f", g.Level)
	}
	return fmt.Sprintf("%d of %d run, %d wait, demand %.1f; refuses %s", g.Running, g.Limit, g.Queued, g.Demand, refuses)
}

type historyCommand struct {
	*app
	Tenant string `long:"tenant" value-name:"NAME" required:"yes" description:"whose versions"`
	Limit  int    `long:"limit" value-name:"N" default:"20" description:"how many of the newest versions; each is one read"`
}

// Execute implements flags.Commander.
func (c *historyCommand) Execute([]string) error {
	if c.Limit < 1 {
		return status.New(status.CodeInvalidSettings, "--limit must be at least 1")
	}
	store, done, err := c.store()
	if err != nil {
		return err
	}
	defer done()
	records, err := store.History(c.ctx, request.Tenant(c.Tenant), c.Limit)
	if err != nil {
		return err
	}
	out := make([]record, len(records))
	for i, r := range records {
		out[i] = recordOf(r)
	}
	return c.show(out, func(w io.Writer) { c.table(w, out) })
}

type diffCommand struct {
	*app
	Tenant string `long:"tenant" value-name:"NAME" description:"whose versions, without DIR"`
	From   int64  `long:"from" value-name:"N" description:"the older version (default: the accepted one; with --tenant the one before --to)"`
	To     int64  `long:"to" value-name:"N" description:"the newer version, without DIR (default: the accepted one)"`
	Args   struct {
		Paths []string `positional-arg-name:"DIR" description:"directory of the newer set, or its files"`
	} `positional-args:"yes"`
}

type diffResult struct {
	Tenant      request.Tenant         `json:"tenant"`
	From        int64                  `json:"from"`
	To          int64                  `json:"to,omitempty"` // 0: the given files
	Differences []configset.Difference `json:"differences"`
}

// Execute implements flags.Commander.
func (c *diffCommand) Execute([]string) error {
	files := len(c.Args.Paths) > 0
	if files == (c.Tenant != "") || files && c.To != 0 {
		return status.New(status.CodeInvalidSettings, "diff takes either DIR, or --tenant with --from and --to")
	}
	if c.From < 0 || c.To < 0 {
		return status.New(status.CodeInvalidSettings, "--from and --to must not be negative")
	}
	var to configset.Set
	var err error
	if files {
		if to, err = yamlset.Load(c.Args.Paths...); err != nil {
			return err
		}
		c.Tenant = string(to.Tenant)
	}
	store, done, err := c.store()
	if err != nil {
		return err
	}
	defer done()
	if !files {
		if to, err = c.version(store, c.To); err != nil {
			return err
		}
		c.From = cmp.Or(c.From, max(to.Version-1, 1))
	}
	from, err := c.version(store, c.From)
	if files && c.From == 0 && errors.Is(err, port.ErrNotFound) {
		err = nil // the tenant has no set yet: all is new
	}
	if err != nil {
		return err
	}
	out := diffResult{Tenant: to.Tenant, From: from.Version, To: to.Version, Differences: configset.Diff(from, to)}
	return c.show(out, func(w io.Writer) { c.text(w, out) })
}

// version fetches an accepted version, 0 for the one in force.
func (c *diffCommand) version(store *apply.Store, v int64) (configset.Set, error) {
	tenant := request.Tenant(c.Tenant)
	var r apply.Record
	var err error
	if v == 0 {
		r, err = store.Head(c.ctx, tenant)
	} else {
		r, err = store.Version(c.ctx, tenant, v)
	}
	if err != nil {
		return configset.Set{}, err
	}
	return store.Set(c.ctx, r)
}

func (c *diffCommand) text(w io.Writer, out diffResult) {
	if len(out.Differences) == 0 {
		c.printf(w, "no difference to version %d\n", out.From)
	}
	for _, d := range out.Differences {
		switch {
		case d.Old == "":
			c.printf(w, "+ %s: %s\n", d.Field, d.New)
		case d.New == "":
			c.printf(w, "- %s: %s\n", d.Field, d.Old)
		default:
			c.printf(w, "~ %s: %s -> %s\n", d.Field, d.Old, d.New)
		}
	}
}

type versionCommand struct{ *app }

// Execute implements flags.Commander.
func (c *versionCommand) Execute([]string) error {
	out := buildinfo.Read()
	return c.show(out, func(w io.Writer) { c.printf(w, "peardrift %s\n", out) })
}
