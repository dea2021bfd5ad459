package hertzhttp

import (
	"sync/atomic"
	"time"
)

// Limits bounds what a client may send in a request's headers, and how long it may take.
type Limits struct {
	HeaderBytes   int           // see ServerConfig.MaxHeaderBytes
	HeaderTimeout time.Duration // see ServerConfig.HeaderTimeout
	IdleTimeout   time.Duration // see ServerConfig.IdleTimeout
}

// clientLimits are the limits in force at a server. They are safe for concurrent use.
type clientLimits struct {
	headerBytes   atomic.Int64
	headerTimeout atomic.Int64
	idleTimeout   atomic.Int64
	bodyTimeout   time.Duration // see ServerConfig.ReadTimeout
}

func (l *clientLimits) set(v Limits) {
	l.headerBytes.Store(int64(v.HeaderBytes))
	l.headerTimeout.Store(int64(v.HeaderTimeout))
	l.idleTimeout.Store(int64(v.IdleTimeout))
}

func (l *clientLimits) header() time.Duration { return time.Duration(l.headerTimeout.Load()) }

func (l *clientLimits) idle() time.Duration { return time.Duration(l.idleTimeout.Load()) }

// SetLimits puts limits in force. Connections that wait for a request keep the time-outs
// that they wait with.
func (s *Server) SetLimits(l Limits) { s.limits.set(l) }
