// Package zaplog sets up the node's logs on zap: one JSON object a line, at a
// bounded rate, written off the goroutines that serve traffic.
//
// Three bounds apply in turn. A message that repeats within a second is
// sampled. All messages together are held to settings.Logs.PerSecond, of which
// a quarter is reserved for lines of level error. And lines wait for the
// output in a queue of bounded length. What a bound drops is counted and the
// counts are logged within a second.
//
// Lines never hold bodies, the platform's keys or idempotency keys: log the
// latter with Key, and any other text that comes from outside with Text, which
// bounds its length. New is called once, before the node's listeners open; the
// close function last of all. The logger may be used from any goroutine.
package zaplog
