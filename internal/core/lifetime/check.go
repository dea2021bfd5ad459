package lifetime

import (
	"time"

	"peardrift/internal/core/request"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// maxClockSkew is how far in the future a start time may be. Clocks differ by seconds;
// a start that is further ahead would make all later ones look earlier.
const maxClockSkew = time.Hour

// Check returns an error if a report can't come from a target of the service. Its
// errors are status errors with CodeMalformed. A target's last report names no service.
func Check(r port.Report, service request.Service, now time.Time) error {
	switch {
	case r.Instance == "":
		return status.New(status.CodeMalformed, "report has no instance name")
	case !r.Final && r.Service != service:
		return status.New(status.CodeMalformed, "report names service %q at a node of service %q", r.Service, service)
	case r.StartedAt < 0 || r.StartedAt > now.Add(maxClockSkew).UnixMilli():
		return status.New(status.CodeMalformed, "start time %d ms is out of range", r.StartedAt)
	}
	return nil
}
