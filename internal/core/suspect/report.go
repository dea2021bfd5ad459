package suspect

import "peardrift/internal/core/request"

// CrashID identifies one crash; an incarnation of a target crashes once.
type CrashID struct {
	Target      request.TargetID
	Incarnation uint64
}

// Report lists what was in flight at a target when it crashed. Several nodes may report
// parts of the same crash.
type Report struct {
	Crash CrashID
	// InFlight is the number of distinct fingerprints in flight: at least
	// len(Fingerprints), more if the report was truncated.
	InFlight int
	// Fingerprints that were in flight, each once.
	Fingerprints []Fingerprint
	// Cleared are those of the fingerprints for which the reporter saw a complete
	// answer after an earlier crash. Without it, an innocent request could be refused:
	// in flight at two crashes, then answered on one node, it runs there beside the
	// culprit, and the other nodes would count the third crash against it too.
	Cleared []Fingerprint
}
