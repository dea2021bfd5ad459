package rpc

import "time"

// Config holds the parameters of the control transport.
type Config struct {
	// DialTimeout bounds the setting up of a connection. Default 1 s.
	DialTimeout time.Duration
	// WriteTimeout bounds the writing of one message. Default 2 s.
	WriteTimeout time.Duration
	// IdleTimeout ends a connection on which the server saw no request for so
	// long. Default 1 m. It must exceed the longest heartbeat period.
	IdleTimeout time.Duration
	// MaxMessage bounds one message in bytes. Default 1 MiB. Raising it lets a
	// faulty peer take more memory.
	MaxMessage int
	// MaxConns bounds the connections that a server accepts at a time; further
	// ones are closed at once. Default 256.
	MaxConns int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		DialTimeout:  time.Second,
		WriteTimeout: 2 * time.Second,
		IdleTimeout:  time.Minute,
		MaxMessage:   1 << 20,
		MaxConns:     256,
	}
}
