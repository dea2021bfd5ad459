package dataplane

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

// problemBase is the prefix of problem type URIs (RFC 9457); the code follows.
const problemBase = "urn:peardrift:problem:"

const problemContentType = "application/problem+json"

// problem is the body of each refusal and failure that the node itself answers.
type problem struct {
	Type       string `json:"type"`
	Title      string `json:"title"`
	Status     int    `json:"status"`
	Detail     string `json:"detail,omitempty"`
	Outcome    string `json:"outcome"`
	Request    string `json:"request,omitempty"`
	RetryAfter int    `json:"retry_after_ms,omitempty"`
}

// writeProblem answers with the failure e. The connection stays usable.
func (x *Engine) writeProblem(resp *protocol.Response, id request.ID, e *status.Error) {
	code := httpStatus(e)
	p := problem{
		Type:       problemBase + string(e.Code),
		Title:      string(e.Code),
		Status:     code,
		Detail:     e.Detail,
		Outcome:    e.Outcome.String(),
		RetryAfter: int(e.RetryAfter.Milliseconds()),
	}
	if !id.IsZero() {
		p.Request = id.String()
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}") // can't happen: the struct has only strings and ints
	}
	resp.ResetBody()
	resp.SetStatusCode(code)
	resp.Header.SetContentType(problemContentType)
	resp.SetBody(body)
	if e.RetryAfter > 0 {
		resp.Header.Set(wire.HeaderRetryAfter, retryAfter(e.RetryAfter, x.cfg.Dialect.FractionalRetryAfter))
	}
	if code == consts.StatusUnauthorized {
		resp.Header.Set(wire.HeaderAuthenticate, x.cfg.Dialect.KeyScheme())
	}
	resp.Header.Set(wire.HeaderOutcome, e.Outcome.String())
	resp.Header.Set(wire.HeaderCode, string(e.Code))
	wire.SetAnswer(&resp.Header, &wire.Answer{Outcome: e.Outcome, Code: e.Code, Pushback: e.RetryAfter})
}

// retryAfter rounds up to whole seconds unless callers accept fractions: a client that
// retried sooner than advised would be refused again.
func retryAfter(d time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(d.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// httpStatus maps a failure to the status that HTTP clients expect for it.
func httpStatus(e *status.Error) int {
	switch e.Code {
	case status.CodeProtocol:
		if e.Outcome != request.Refused {
			return consts.StatusBadGateway // the upstream's fault, not the caller's
		}
		return consts.StatusBadRequest
	case status.CodeMalformed, status.CodeKeyMissing, status.CodeKeyAhead:
		return consts.StatusBadRequest
	case status.CodeKeyUnknown:
		return consts.StatusUnauthorized
	case status.CodeForbidden:
		return consts.StatusForbidden
	case status.CodeUnknownService, status.CodeUnknownClass:
		return consts.StatusNotFound
	case status.CodeInProgress:
		return consts.StatusConflict
	case status.CodeTooLarge:
		return consts.StatusRequestEntityTooLarge
	case status.CodeKeyReused:
		return consts.StatusUnprocessableEntity
	case status.CodeOverShare, status.CodeOverLimit:
		return consts.StatusTooManyRequests
	case status.CodeDeadlineExceeded, status.CodeOutcomeUnknown:
		return consts.StatusGatewayTimeout
	case status.CodeConnectionLost, status.CodeTargetFailed, status.CodeCanceled:
		return consts.StatusBadGateway
	case status.CodeAnswerNotKept:
		return consts.StatusGone // it completed, and its answer is not available on a retry
	case status.CodeInternal:
		return consts.StatusInternalServerError
	default:
		return consts.StatusServiceUnavailable
	}
}
