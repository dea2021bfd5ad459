// Package node assembles a peardriftd process: settings, listeners, the data plane,
// and the control goroutine with membership and configuration.
//
// Goroutines: traffic runs on its connections' goroutines; work that blocks on remote
// calls (exchanges with nodes, platform calls, recording of claims) runs on a bounded
// ants pool; one control goroutine owns all control state and publishes an immutable
// dataplane.View. The data plane never waits for control.
//
// Lifecycle: New binds every listener and checks the settings, so that a process that
// can't serve ends before it has announced anything. Run joins, serves, and shuts down
// gracefully when its context ends.
package node
