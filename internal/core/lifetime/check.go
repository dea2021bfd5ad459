package lifetime

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// maxAhead is how far in the future a start may lie. Clocks differ by seconds; a
// start that is further ahead would make all later ones look like earlier ones.
const maxAhead = time.Hour

// Check returns why a report can't be one of a target of a service, nil if it can. Its
// errors are status errors with CodeMalformed. A last word names no service.
func Check(r port.Report, service request.Service, now time.Time) error {
	switch {
	case r.Instance == "":
		return status.New(status.CodeMalformed, "a report without a name")
	case !r.Last && r.Service != service:
		return status.New(status.CodeMalformed, "a report of service %q at a node of %q", r.Service, service)
	case r.Born < 0 || r.Born > now.Add(maxAhead).UnixMilli():
		return status.New(status.CodeMalformed, "a start at %d ms is none", r.Born)
	}
	return nil
}
