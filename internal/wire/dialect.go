package wire

import (
	"bytes"
	"strings"
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
