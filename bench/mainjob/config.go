package mainjob

import (
	"io"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// Codes of what a run may find wrong.
const (
	// CodeAnswer: a caller got a wrong or partial answer, or none that it knows
	// the outcome of.
	CodeAnswer status.Code = "main-job-answer"
	// CodeTrace: a trace lacks a hop of its request.
	CodeTrace status.Code = "main-job-trace"
)

// Config is one run.
type Config struct {
	// Root is the workspace's folder, for the examples.
	Root string
	Bins harness.Bins
	// Small runs two targets of each service, at half the load.
	Small bool
	// Load is the length of the mixed load.
	Load time.Duration
	// Out takes the text.
	Out io.Writer
	// Keep leaves the fleet's folder (settings, logs, traces) behind.
	Keep bool
}

// smallTargets is the number of targets of each service in a small run: the
// least that leaves a retry somewhere else to go.
const smallTargets = 2

// deployments returns the fleets of a run, their load included.
func (c Config) deployments() []deploy.Deployment {
	ds := deploy.All()
	for _, d := range ds {
		for i := range d.Services {
			if c.Small {
				d.Services[i].Targets = smallTargets
			}
		}
		for i := range d.Load {
			patient(&d.Load[i])
			for k := range d.Load[i].Phases {
				p := &d.Load[i].Phases[k]
				p.For = c.Load
				if c.Small {
					p.Rate /= 2
				}
			}
		}
	}
	return ds
}
