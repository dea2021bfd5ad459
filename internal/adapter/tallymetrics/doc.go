// Package tallymetrics keeps the node's metrics on tally and renders them in
// the Prometheus text format for the scrape endpoint.
//
// Metrics implements dataplane.Observer: traffic goroutines call Hop at the end
// of a hop. Series are created at the first use of a service and class; later
// lookups take no lock and allocate nothing. The control goroutine calls
// Configure at each configuration change, and sets Gauges when it publishes a
// snapshot. The operators' listener calls WriteText.
//
// Some label values come from outside (a caller's Host header, another node's
// answer), so cardinality is bounded: only configured services and classes, at
// most settings.Metrics.MaxClasses pairs and 64 results per series, get their own
// labels; all others share "other". So do tenants beyond 64. Series of services,
// classes and tenants that are no longer configured are removed.
//
// tally collects at an interval, so a scrape shows values up to
// settings.Metrics.Interval old. tally's histograms keep counts per bucket
// only: a histogram's _sum adds up bucket bounds and so is an upper estimate.
package tallymetrics
