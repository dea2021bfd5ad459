package wire

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
)

// Dialect names the headers that callers and targets use for what a node has to know,
// where they differ from the project's own interface. An empty name means that no
// header carries it, unless the field says otherwise. The zero value is the project's
// own interface.
type Dialect struct {
	// Request names the caller's request; each attempt of a caller has another name.
	// It is passed on to the target, which echoes it.
	Request string
	// ChainSeparator separates, in the name of a target's call, the name of the request
	// that the target runs from the rest. Empty: targets pass on traceparent instead.
	ChainSeparator string
	// Timeout carries how many milliseconds the sender waits. Empty:
	// HeaderTargetDeadline.
	Timeout string
	// Origin tells the target the service beside which the request began.
	Origin string
	// Instance tells the target which of its instances is meant. Another instance
	// answers with StatusMisdirected and names itself in ActualInstance.
	Instance       string
	ActualInstance string
	// NotExecuted marks the answers of a target that has not run the request.
	NotExecuted string
	// RateLimit names, in the answers of a target in need, the requests per second that
	// it accepts from all callers together, for as long as its answers carry it. Targets
	// may use any of the names.
	RateLimit []string
	// Leaving marks the answers of a target that is about to leave, with the value 1.
	// Targets may use any of the names.
	Leaving []string
	// Signature marks the answers that a target has made itself. A success without it,
	// or with another name echoed in Request, is not passed on.
	Signature string
	// Organisation tells the target which organisation calls. Empty:
	// HeaderOrganisation.
	Organisation string
	// Scheme precedes a caller's API key in Authorization. Empty: DefaultScheme.
	Scheme string
	// FractionalRetryAfter reports whether Retry-After may have fractions of seconds.
	FractionalRetryAfter bool
}

// leavingValue is the value of Leaving.
const leavingValue = "1"

// Notice is what a target's answer says of the target itself.
type Notice struct {
	RateLimit float64 // requests per second that it accepts; +Inf: it names no limit
	Leaving   bool
}

// GetNotice reads what an answer of a target says of it. ok is false if the answer says
// nothing because it is not marked as the target's own or names an invalid limit.
func (d *Dialect) GetNotice(h *protocol.ResponseHeader) (n Notice, ok bool) {
	if len(h.Peek(d.Signature)) == 0 && len(h.Peek(d.NotExecuted)) == 0 {
		return Notice{}, false
	}
	n.RateLimit = math.Inf(1)
	n.Leaving = string(peekAny(h, d.Leaving)) == leavingValue
	limit := peekAny(h, d.RateLimit)
	if len(limit) == 0 {
		return n, true
	}
	v, err := strconv.ParseFloat(string(limit), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return n, n.Leaving
	}
	n.RateLimit = v
	return n, true
}

// peekAny returns the value of the first of the named headers that is present.
func peekAny(h *protocol.ResponseHeader, names []string) []byte {
	for _, name := range names {
		if v := h.Peek(name); len(v) > 0 {
			return v
		}
	}
	return nil
}

// TimeoutHeader returns the name of the header that carries the timeout.
func (d *Dialect) TimeoutHeader() string {
	if d.Timeout == "" {
		return HeaderTargetDeadline
	}
	return d.Timeout
}

// OrganisationHeader returns the name of the header that carries the organisation.
func (d *Dialect) OrganisationHeader() string {
	if d.Organisation == "" {
		return HeaderOrganisation
	}
	return d.Organisation
}

// KeyScheme returns the authorization scheme of API keys.
func (d *Dialect) KeyScheme() string {
	if d.Scheme == "" {
		return DefaultScheme
	}
	return d.Scheme
}

// Key returns the API key in an Authorization field, nil if there is none. The result
// aliases the field.
func (d *Dialect) Key(field []byte) []byte {
	scheme := d.KeyScheme()
	if len(field) <= len(scheme) || field[len(scheme)] != ' ' || !strings.EqualFold(string(field[:len(scheme)]), scheme) {
		return nil
	}
	return bytes.Trim(field[len(scheme):], " ")
}

// passThrough returns the headers that are passed on with a request to its target and
// with an answer to its caller, although their names have the internal prefix.
func (d *Dialect) passThrough() [2]string { return [2]string{d.Request, d.Signature} }
