// Package workload defines the input of the replay: deployments with their services
// and request classes, scenarios of demand and faults, and a generator of traces.
//
// A trace is a file of JSON lines. The first line is a Header, each further
// line an Event: a client's request, or the start or end of a fault. Times are
// nanoseconds since the start of the trace, in ascending order. A trace records
// demand and faults but no decisions, so every policy can run the same trace.
//
//	{"format":"peardrift-trace/1","deployment":"khaosan","scenario":"worst","seed":1,...}
//	{"t":412000,"tenant":"khaosan","class":"morning-feed","client":8123,"zone":2}
//	{"t":8000000000,"fault":"slow","service":"archive","factor":4}
//
// Generation is deterministic: a trace depends on the deployment, scenario, scale and
// seed alone.
package workload
