package tallymetrics

import "github.com/uber-go/tally/v4"

// Gauges are the node's own gauges. The control goroutine sets them; each has a
// constant cost and no labels. Their zero value may not be used.
type Gauges struct {
	InFlight      tally.Gauge // calls in flight in the node, all faces
	Running       tally.Gauge // requests that run on the target
	Queued        tally.Gauge // requests that wait for the target
	Limit         tally.Gauge // requests that may run on the target at once
	Level         tally.Gauge // admission level, 0 admits all
	Backlog       tally.Gauge // seconds that the queue takes at the present limit
	Demand        tally.Gauge // recent demand in slots
	Suspects      tally.Gauge // fingerprints of requests suspected of crashing targets
	Members       tally.Gauge // targets known, all services
	Alive         tally.Gauge // targets known that take work
	ConfigVersion tally.Gauge // version of the configuration in force
	Ready         tally.Gauge // 1 if the node takes calls
	Draining      tally.Gauge // 1 if the target is leaving
	TargetUp      tally.Gauge // 1 if the target answers its health check
}

func newGauges(s tally.Scope) Gauges {
	return Gauges{
		InFlight:      s.Gauge("calls_in_flight"),
		Running:       s.Gauge("target_running"),
		Queued:        s.Gauge("target_queued"),
		Limit:         s.Gauge("target_limit"),
		Level:         s.Gauge("admission_level"),
		Backlog:       s.Gauge("queue_backlog_seconds"),
		Demand:        s.Gauge("target_demand"),
		Suspects:      s.Gauge("suspects"),
		Members:       s.Gauge("members"),
		Alive:         s.Gauge("members_alive"),
		ConfigVersion: s.Gauge("config_version"),
		Ready:         s.Gauge("ready"),
		Draining:      s.Gauge("draining"),
		TargetUp:      s.Gauge("target_up"),
	}
}

// Counters are the node's own counters, without labels.
type Counters struct {
	ControlBytes  tally.Counter // bytes sent and received for control, headers included
	ConfigChanges tally.Counter // configuration versions that came in force
	StoreRewinds  tally.Counter // returns of the platform's store from an older copy
	TargetCrashes tally.Counter // times that the own target went away while it ran requests
}

func newCounters(s tally.Scope) Counters {
	return Counters{
		ControlBytes:  s.Counter("control_bytes_total"),
		ConfigChanges: s.Counter("config_changes_total"),
		StoreRewinds:  s.Counter("store_rewinds_total"),
		TargetCrashes: s.Counter("target_crashes_total"),
	}
}
