package porttest

import (
	"bytes"
	"context"
	"sync"

	"peardrift/internal/port"
)

// Objects is a fake port.Objects.
type Objects struct {
	mu     sync.Mutex
	bodies map[string][]byte
	script Script
}

var _ port.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{bodies: make(map[string][]byte)} }

// SetScript replaces the script; nil ends all faults. Delayed acts as LostResponse here.
func (o *Objects) SetScript(s Script) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.script = s
}

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.bodies)
}

// Get implements port.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.nextFault(ctx, OpGet, name) != None {
		return nil, port.ErrUnavailable
	}
	body, ok := o.bodies[name]
	if !ok {
		return nil, port.ErrNotFound
	}
	return bytes.Clone(body), nil
}

// Put implements port.Objects.
func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch o.nextFault(ctx, OpPut, name) {
	case Unavailable:
		return port.ErrUnavailable
	case LostRequest:
		return port.ErrAmbiguous
	case LostResponse, Delayed:
		o.bodies[name] = bytes.Clone(body)
		return port.ErrAmbiguous
	default:
		o.bodies[name] = bytes.Clone(body)
		return nil
	}
}

func (o *Objects) nextFault(ctx context.Context, op Op, name string) Fault {
	if ctx.Err() != nil {
		return Unavailable
	}
	if o.script == nil {
		return None
	}
	return o.script(op, name)
}
