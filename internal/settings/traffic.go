package settings

import "time"

// MaxHeaderBytes is the largest value of Traffic.MaxHeaderBytes.
const MaxHeaderBytes = 1 << 20

// Traffic bounds the resources of one call, one connection and all calls together.
type Traffic struct {
	// MaxHeaderBytes bounds a request's header, and separately its request line. Default
	// 65536. Requests with larger headers are refused before they run. Lower refuses
	// callers with many cookies; higher lets each connection take as much memory, as far as
	// Limits.MemoryBytes allows. A platform that states a bound replaces it.
	MaxHeaderBytes int `yaml:"maxHeaderBytes" validate:"min=4096,max=1048576"`

	// MaxBodyBytes bounds a request's body, in addition to its class's limit. Default
	// 1073741824 (1 GiB). Bodies are streamed, so it doesn't bound memory. Lower
	// refuses large uploads; higher lets an upload occupy a slot longer.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" validate:"min=1024,max=1099511627776"`

	// BufferBytes bounds the memory for one body: bodies up to it are buffered whole
	// and their requests may be retried, larger ones are streamed and get one attempt.
	// Default 65536. Higher allows more retries and costs up to as many bytes per call
	// in flight.
	BufferBytes int `yaml:"bufferBytes" validate:"min=4096,max=16777216"`

	// MaxCalls bounds the calls in flight in the node over all listeners. Default 4096.
	// Calls above it are refused. Lower refuses calls that targets could still serve;
	// higher costs BufferBytes and a goroutine per call.
	MaxCalls int `yaml:"maxCalls" validate:"min=16,max=1000000"`

	// MaxConnections bounds the open connections of callers, and separately those of
	// nodes and the own target together. Default 8192; less if the process may open
	// fewer than four files per connection. Connections above it are closed at once.
	// Lower rejects callers while there is capacity; higher takes memory and file
	// descriptors.
	MaxConnections int `yaml:"maxConnections" validate:"min=16,max=1000000"`

	// UploadTimeout bounds the time to receive a whole request body. Default 5m. Lower
	// aborts uploads of slow phones; higher lets idle senders hold slots.
	UploadTimeout time.Duration `yaml:"uploadTimeout" validate:"min=1s,max=1h"`

	// IdleTimeout is how long a connection without a call stays open. Default 90s.
	// Lower costs reconnections (about 1 ms each); higher keeps more connections open,
	// including dead ones. A platform that states a bound replaces it.
	IdleTimeout time.Duration `yaml:"idleTimeout" validate:"min=1s,max=1h"`

	// HeaderTimeout bounds the time from the first byte of a request to the end of its
	// header. Default 30s. Lower frees connections of slow senders sooner; too low refuses
	// callers on bad links. A platform that states a bound replaces it.
	HeaderTimeout time.Duration `yaml:"headerTimeout" validate:"min=100ms,max=1h"`

	// ConnectTimeout bounds the time to connect to a node or target. Default 250ms.
	// Lower gives up on a slow peer sooner, before the call has started there; it must
	// exceed the round trip to the farthest region.
	ConnectTimeout time.Duration `yaml:"connectTimeout" validate:"min=10ms,max=10s"`

	// Waiting lets requests of classes that declare an objective wait at this node for
	// capacity of the services below. Default false: they are refused at once. It needs
	// Limits.MemoryBytes, an eighth of which waiting requests may take.
	Waiting bool `yaml:"waiting"`

	// ResendRatio bounds the further sends to the own target of calls that it marks as not
	// run, per call in ResendWindow, 0 to 1. Default 0: none. Higher completes more requests while
	// the target rejects calls and adds load to it. It needs Target.NotExecutedHeader. A
	// platform that states a bound replaces it.
	ResendRatio float64 `yaml:"resendRatio" validate:"min=0,max=1"`

	// ResendWindow is the window in which ResendRatio holds. Default 10s. A node sends
	// nothing again for one window after its start. Longer allows more further sends at
	// once after a quiet time.
	ResendWindow time.Duration `yaml:"resendWindow" validate:"min=1s,max=1m"`
}
