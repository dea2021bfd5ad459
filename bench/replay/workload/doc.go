// Package workload describes what the replay runs: the services and request
// classes of the brief's two deployments, scenarios of demand and faults, and
// the traces that a generator draws from them.
//
// A trace is a file of JSON lines. The first line is a Header, each further
// line an Event: a request that a client sends, or a fault that begins or ends.
// Times are nanoseconds since the start of the trace, in rising order. A trace
// holds demand only, no decisions, so the same trace serves every policy.
//
//	{"format":"peardrift-trace/1","deployment":"khaosan","scenario":"worst","seed":1,...}
//	{"t":412000,"tenant":"khaosan","class":"morning-feed","client":8123,"zone":2}
//	{"t":8000000000,"fault":"slow","service":"archive","factor":4}
//
// Generation is deterministic: the same deployment, scenario, scale and seed
// give the same trace.
package workload
