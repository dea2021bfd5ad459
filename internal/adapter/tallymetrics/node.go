package tallymetrics

import "github.com/uber-go/tally/v4"

// Gauges are the node's gauges, set by the control goroutine. They have a constant
// cost and no labels. The zero value is not usable.
type Gauges struct {
	InFlight           tally.Gauge // calls in flight in the node, on all listeners
	Running            tally.Gauge // requests running on the target
	Queued             tally.Gauge // requests queued for the target
	Waiting            tally.Gauge // requests of callers that wait for their start
	Limit              tally.Gauge // concurrency limit of the target
	RateLimit          tally.Gauge // calls per second that the target accepts; 0 if it names no limit
	Level              tally.Gauge // admission threshold; 0 admits all
	Backlog            tally.Gauge // seconds to drain the queue at the current limit
	Demand             tally.Gauge // recent demand in slots
	TimeFactorStated   tally.Gauge // time that work takes in the target, relative to the usual, as it states
	TimeFactorMeasured tally.Gauge // the same as measured
	TimeFactorTrust    tally.Gauge // in the stated one, 0 to 1
	Suspects           tally.Gauge // fingerprints of requests suspected of crashing targets
	Members            tally.Gauge // known targets of all services
	Alive              tally.Gauge // known targets that accept requests
	ConfigVersion      tally.Gauge // version of the configuration in force
	Ready              tally.Gauge // 1 if the node accepts calls
	Draining           tally.Gauge // 1 if the target is leaving
	TargetUp           tally.Gauge // 1 if the target answers its health check
}

func newGauges(s tally.Scope) Gauges {
	return Gauges{
		InFlight:           s.Gauge("calls_in_flight"),
		Running:            s.Gauge("target_running"),
		Queued:             s.Gauge("target_queued"),
		Waiting:            s.Gauge("entry_waiting"),
		Limit:              s.Gauge("target_limit"),
		RateLimit:          s.Gauge("target_rate_limit"),
		Level:              s.Gauge("admission_level"),
		Backlog:            s.Gauge("queue_backlog_seconds"),
		Demand:             s.Gauge("target_demand"),
		TimeFactorStated:   s.Gauge("target_time_factor_stated"),
		TimeFactorMeasured: s.Gauge("target_time_factor_measured"),
		TimeFactorTrust:    s.Gauge("target_time_factor_trust"),
		Suspects:           s.Gauge("suspects"),
		Members:            s.Gauge("members"),
		Alive:              s.Gauge("members_alive"),
		ConfigVersion:      s.Gauge("config_version"),
		Ready:              s.Gauge("ready"),
		Draining:           s.Gauge("draining"),
		TargetUp:           s.Gauge("target_up"),
	}
}

// Counters are the node's counters, without labels.
type Counters struct {
	ControlBytes     tally.Counter // bytes of control traffic sent and received, headers included
	ConfigChanges    tally.Counter // configuration versions that took effect
	StoreRestores    tally.Counter // times the platform's store was restored from an older copy
	CallsToOtherZone tally.Counter // calls sent to another zone because the own one is short of capacity
	TargetCrashes    tally.Counter // times this node's target went down with requests in flight
}

func newCounters(s tally.Scope) Counters {
	return Counters{
		ControlBytes:     s.Counter("control_bytes_total"),
		ConfigChanges:    s.Counter("config_changes_total"),
		StoreRestores:    s.Counter("store_rewinds_total"),
		CallsToOtherZone: s.Counter("calls_to_other_zone_total"),
		TargetCrashes:    s.Counter("target_crashes_total"),
	}
}
