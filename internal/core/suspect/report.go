package suspect

import "peardrift/internal/core/request"

// CrashID identifies one crash: an incarnation of a target dies once.
type CrashID struct {
	Target      request.TargetID
	Incarnation uint64
}

// Report says what was in flight at a target when it died. Several nodes may
// report parts of the same crash.
type Report struct {
	Crash CrashID
	// InFlight is the number of different fingerprints in flight, at least
	// len(Fingerprints); it may be more if the report was cut.
	InFlight int
	// Fingerprints that were in flight, each once.
	Fingerprints []Fingerprint
	// Cleared are those among them that the reporter saw answered whole after
	// some earlier crash.
	//
	// Symptom otherwise: an innocent request is refused. It was in flight at two
	// crashes, then answered whole on one node, which let it run beside the
	// culprit; the other nodes don't know, and count the third crash for it too.
	Cleared []Fingerprint
}
