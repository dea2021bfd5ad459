// Package zaplog sets up the node's logs on zap: one JSON object per line, rate
// limited, and written by a goroutine that serves no traffic.
//
// Three limits apply in this order. A message that repeats within a second is
// sampled. All messages together are limited to settings.Logs.PerSecond, of
// which a quarter is reserved for lines of level error. Lines wait for the output
// in a queue of bounded length. Lines dropped by each limit are counted, and the
// counts are logged within a second.
//
// Lines never contain bodies, the platform's keys or idempotency keys: log an
// idempotency key with Key, and any other external text with Text, which limits
// its length. Call New once, before the node's listeners open, and the close
// function last. The logger is safe for concurrent use.
package zaplog
