package rpc

import "time"

// Config holds the parameters of the control transport.
type Config struct {
	// DialTimeout limits connection establishment. Default 1 s.
	DialTimeout time.Duration
	// WriteTimeout limits the write of one message. Default 2 s.
	WriteTimeout time.Duration
	// IdleTimeout closes a server connection that receives no request for this
	// long. Default 1 m. It must exceed the longest heartbeat period.
	IdleTimeout time.Duration
	// MaxMessage limits the size of one message in bytes. Default 1 MiB. Raising
	// it lets a faulty peer consume more memory.
	MaxMessage int
	// MaxConns limits the open connections of a server; further ones are closed
	// at once. Default 256.
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
