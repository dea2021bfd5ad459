// Package tallymetrics keeps the node's metrics on tally and renders them in
// the Prometheus text format for the scrape endpoint.
//
// Metrics implements dataplane.Observer: traffic goroutines call Hop when a
// hop has ended. Handles are created at the first use of a service and class
// and found from then on without a lock or an allocation. The control goroutine
// calls Configure at each change of the configuration, and sets Gauges as it
// publishes a snapshot. The operators' listener calls WriteText.
//
// Labels come from outside in part (a caller's Host header, another node's
// answer), so their number is bounded: only configured services and classes,
// at most settings.Metrics.MaxClasses pairs and 64 results per series get
// labels of their own, all others share "other". So do tenants beyond 64. Series
// of services, classes and tenants that leave the configuration are removed.
//
// tally collects at an interval, so a scrape shows values up to
// settings.Metrics.Interval old. tally's histograms keep counts per bucket
// only: a histogram's _sum adds up bucket bounds and so is an upper estimate.
package tallymetrics
