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
	// Load states, in the answers of a target, the requests that it runs, those that wait
	// in it, its slots and, optionally, how long work takes on its machine now as a
	// percentage of the usual: decimal integers separated by commas.
	Load string
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
	if !d.fromTarget(h) {
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

// fromTarget reports whether an answer is marked as the target's own.
func (d *Dialect) fromTarget(h *protocol.ResponseHeader) bool {
	return len(h.Peek(d.Signature)) > 0 || len(h.Peek(d.NotExecuted)) > 0
}

// Load is what a target states of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Figure  int // time that work takes now, in percent of the usual; 0: not stated
}

const (
	// maxLoadCount is the maximum number of requests or slots in a Load.
	maxLoadCount = 1 << 20
	// A figure outside of minFigure to maxFigure is ignored with the rest of its header:
	// no machine differs by more from the usual and is still worth sending calls to.
	minFigure = 1
	maxFigure = 10_000
	// Number of fields without and with the figure.
	minLoadFields = 3
	maxLoadFields = 4
)

// GetLoad reads the load that an answer of a target states. ok is false if it states none,
// if any of it is malformed or out of range, or if the answer is not marked as the target's
// own where targets mark theirs.
func (d *Dialect) GetLoad(h *protocol.ResponseHeader) (l Load, ok bool) {
	if d.Load == "" || d.Signature != "" && !d.fromTarget(h) {
		return Load{}, false
	}
	b := h.Peek(d.Load)
	if len(b) == 0 {
		return Load{}, false
	}
	var v [maxLoadFields]int
	n := 0
	for more := true; more; n++ {
		var field []byte
		field, b, more = bytes.Cut(b, []byte{','})
		if n == maxLoadFields {
			return Load{}, false
		}
		if v[n], ok = parseCount(bytes.Trim(field, " \t")); !ok {
			return Load{}, false
		}
	}
	l = Load{Running: v[0], Waiting: v[1], Slots: v[2], Figure: v[3]}
	if n < minLoadFields || l.Slots == 0 || n == maxLoadFields && (l.Figure < minFigure || l.Figure > maxFigure) {
		return Load{}, false
	}
	return l, true
}

// parseCount parses a decimal number from 0 to maxLoadCount.
func parseCount(b []byte) (n int, ok bool) {
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		if n = 10*n + int(c-'0'); n > maxLoadCount {
			return 0, false
		}
	}
	return n, len(b) > 0
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
