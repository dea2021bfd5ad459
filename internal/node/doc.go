// Package node wires one peardriftd: settings, listeners, the data plane, and
// the control goroutine with membership and configuration.
//
// Goroutines: traffic runs on its connections' goroutines; work that waits for
// others (exchanges with nodes, platform calls, recording of claims) runs on a
// bounded ants pool; one goroutine, control's, owns all control state and
// publishes an immutable dataplane.View. Nothing that traffic does waits for
// control.
//
// Life: New binds every listener and checks the settings, so that a process
// that can't serve ends before it has announced anything. Run joins, serves,
// and ends with a graceful shutdown when its context ends.
package node
