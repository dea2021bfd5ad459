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

// problemBase begins the problem type URIs (RFC 9457); the rest is the code.
const problemBase = "urn:peardrift:problem:"

const problemContentType = "application/problem+json"

// problem is the body of each refusal and failure that a node answers itself.
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
func writeProblem(resp *protocol.Response, id request.ID, e *status.Error) {
	code := httpStatus(e.Code)
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
		body = []byte("{}") // cannot happen: the struct has only plain fields
	}
	resp.ResetBody()
	resp.SetStatusCode(code)
	resp.Header.SetContentType(problemContentType)
	resp.SetBody(body)
	if e.RetryAfter > 0 {
		resp.Header.Set(wire.HeaderRetryAfter, retryAfterSeconds(e.RetryAfter))
	}
	wire.SetAnswer(&resp.Header, &wire.Answer{Outcome: e.Outcome, Code: e.Code, Pushback: e.RetryAfter})
}

// retryAfterSeconds rounds up: a client that came back sooner than advised
// would only be refused again.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// httpStatus maps a code to the status that HTTP clients expect for it.
func httpStatus(c status.Code) int {
	switch c {
	case status.CodeMalformed, status.CodeKeyMissing, status.CodeKeyAhead, status.CodeProtocol:
		return consts.StatusBadRequest
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
	case status.CodeOverShare:
		return consts.StatusTooManyRequests
	case status.CodeDeadlineExceeded, status.CodeOutcomeUnknown:
		return consts.StatusGatewayTimeout
	case status.CodeConnectionLost, status.CodeTargetFailed, status.CodeCanceled:
		return consts.StatusBadGateway
	case status.CodeAnswerNotKept:
		return consts.StatusGone // it completed; sending it again would not bring the answer
	case status.CodeInternal:
		return consts.StatusInternalServerError
	default:
		return consts.StatusServiceUnavailable
	}
}
