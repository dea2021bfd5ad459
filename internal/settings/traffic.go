package settings

import "time"

// Traffic bounds what one call, one connection and all calls together may use.
type Traffic struct {
	// MaxHeaderBytes bounds a request's header. Default 65536. Larger ones are
	// refused before they run. Lower refuses callers with many cookies; higher
	// lets each connection take as much memory.
	MaxHeaderBytes int `yaml:"maxHeaderBytes" validate:"min=4096,max=1048576"`

	// MaxBodyBytes bounds a request's body, beside its class's bound. Default
	// 1073741824 (1 GiB). Bodies are streamed, so it doesn't bound memory.
	// Lower refuses large uploads; higher lets one occupy a slot longer.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" validate:"min=1024,max=1099511627776"`

	// BufferBytes bounds what is held in memory of one body: requests up to it
	// are held whole and may be tried again, larger ones are streamed and get
	// one attempt. Default 65536. Higher allows more retries and costs up to
	// as many bytes for each call in flight.
	BufferBytes int `yaml:"bufferBytes" validate:"min=4096,max=16777216"`

	// MaxCalls bounds the calls in flight in the node, all faces together.
	// Default 4096. Calls above it are refused. Lower refuses while targets could
	// still serve; higher costs BufferBytes and a goroutine each.
	MaxCalls int `yaml:"maxCalls" validate:"min=16,max=1000000"`

	// MaxConnections bounds the open connections of callers, and as many of nodes
	// and the own target together. Default 8192; less where the process may open
	// fewer than four files for each. Connections above it are closed at once.
	// Lower turns callers away while there is room; higher takes memory and file
	// descriptors.
	MaxConnections int `yaml:"maxConnections" validate:"min=16,max=1000000"`

	// UploadTimeout bounds the time for a whole request body to arrive.
	// Default 5m. Lower ends slow phones' uploads; higher lets idle senders
	// hold slots.
	UploadTimeout time.Duration `yaml:"uploadTimeout" validate:"min=1s,max=1h"`

	// IdleTimeout is how long a connection without a call stays open. Default
	// 90s. Lower costs reconnections (about 1 ms each); higher keeps more
	// connections open, and more that have gone silent.
	IdleTimeout time.Duration `yaml:"idleTimeout" validate:"min=1s,max=1h"`

	// ConnectTimeout bounds the opening of a connection to a node or target.
	// Default 250ms. Lower gives up on a slow peer sooner, before the call has
	// begun there; it must exceed the round trip to the farthest region.
	ConnectTimeout time.Duration `yaml:"connectTimeout" validate:"min=10ms,max=10s"`
}
