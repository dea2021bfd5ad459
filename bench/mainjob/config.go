package mainjob

import (
	"io"
	"time"

	"peardrift/bench/deploy"
	"peardrift/bench/harness"
	"peardrift/internal/status"
)

// Status codes of failed runs.
const (
	// CodeAnswer means that a caller got a wrong or partial answer, or an unknown
	// outcome.
	CodeAnswer status.Code = "main-job-answer"
	// CodeTrace means that a trace lacks a hop of its request.
	CodeTrace status.Code = "main-job-trace"
)

// Config configures a run.
type Config struct {
	// Root is the root directory of the workspace, which contains the examples.
	Root string
	Bins harness.Binaries
	// Small runs two targets per service at half the load.
	Small bool
	// Load is the duration of the mixed load.
	Load time.Duration
	// Out receives the report.
	Out io.Writer
	// Keep retains the fleet's directory (settings, logs, traces) after the run.
	Keep bool
}

// smallTargets is the number of targets per service in a small run: the minimum that
// leaves a retry another target.
const smallTargets = 2

// deployments returns the deployments of a run with their load.
func (c Config) deployments() []deploy.Deployment {
	ds := deploy.All()
	for _, d := range ds {
		for i := range d.Services {
			if c.Small {
				d.Services[i].Targets = smallTargets
			}
		}
		for i := range d.Load {
			retryKeyed(&d.Load[i])
			for k := range d.Load[i].Phases {
				p := &d.Load[i].Phases[k]
				p.Duration = c.Load
				if c.Small {
					p.Rate /= 2
				}
			}
		}
	}
	return ds
}
