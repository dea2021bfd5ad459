package client

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"peardrift/bench/standin/target"
	"peardrift/internal/core/request"
	"peardrift/internal/status"
	"peardrift/internal/wire"
)

const (
	headerMark = "X-Mark"
	bodyByte   = "u"
)

// attempt sends a request once and classifies the answer.
func (r *runner) attempt(ctx context.Context, c Class, mark, key string, n int) (a Attempt) {
	a = Attempt{Class: c.Name, RequestMark: mark, N: n, At: time.Now(), Result: Unknown}
	defer func() { a.Latency = time.Since(a.At) }()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := r.newRequest(ctx, c, mark, key)
	if err != nil {
		a.Err = err
		return a
	}
	resp, err := r.http.Do(req)
	if err != nil {
		a.Err = status.Wrap(status.CodeConnectionLost, err, "send")
		if opErr := (*net.OpError)(nil); errors.As(err, &opErr) && opErr.Op == "dial" {
			a.Err, a.Code = status.Wrap(status.CodeConnectFailed, err, "connect"), string(status.CodeConnectFailed)
		}
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.Status = resp.StatusCode
	a.Code = resp.Header.Get(wire.HeaderCode)
	if err != nil {
		// The connection failed visibly, so the truncated answer can't be mistaken
		// for a whole one.
		a.Err = status.Wrap(status.CodeConnectionLost, err, "read the answer")
		return a
	}
	if s, err := strconv.Atoi(resp.Header.Get(wire.HeaderRetryAfter)); err == nil {
		a.retryAfter = time.Duration(s) * time.Second
	}
	a.Result = reportedResult(resp)
	if a.Result == Completed && c.KeyUUIDv7 && a.Code == string(status.CodeAnswerNotKept) {
		return a // an earlier attempt completed; shared rows don't keep its answer
	}
	if a.Result == Completed {
		a.Result, a.Degraded, a.Err = verify(c, body, mark)
	}
	return a
}

func (r *runner) newRequest(ctx context.Context, c Class, mark, key string) (*http.Request, error) {
	base := r.cfg.URLs[r.nextURL.Add(1)%uint64(len(r.cfg.URLs))]
	body := strings.NewReader(strings.Repeat(bodyByte, c.Body))
	req, err := http.NewRequestWithContext(ctx, c.Method, base+c.Path, body)
	if err != nil {
		return nil, status.Wrap(status.CodeInvalidSettings, err, "request of class %s", c.Name)
	}
	if c.Body == 0 {
		// net/http sends a request without a body again when its connection breaks, which
		// would add retries that are not counted. A body of unknown length, empty, prevents it.
		req.Body, req.GetBody = io.NopCloser(strings.NewReader("")), nil
	}
	req.Host = c.Host
	req.Header.Set(headerMark, mark)
	if c.APIKey != "" {
		req.Header.Set(wire.HeaderAuthorization, "Bearer "+c.APIKey)
	}
	if c.Key {
		// In lower case: with the canonical name net/http treats the request as
		// replayable and would add retries that are not counted.
		req.Header[strings.ToLower(wire.HeaderIdempotencyKey)] = []string{key}
	}
	return req, nil
}

// idempotencyKey returns the key that all attempts at a request share.
func idempotencyKey(c Class, mark string) string {
	if c.KeyUUIDv7 {
		return uuid.Must(uuid.NewV7()).String()
	}
	return "key-" + mark
}

// reportedResult returns the result that an answer claims: by the node's outcome
// header or, without a node, by the HTTP status.
func reportedResult(resp *http.Response) Result {
	if h := resp.Header.Get(wire.HeaderOutcome); h != "" {
		return outcomes[request.ParseOutcome(h)]
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Completed
	case http.StatusServiceUnavailable:
		return Refused
	case http.StatusGatewayTimeout:
		return Unknown
	default:
		return Failed
	}
}

var outcomes = map[request.Outcome]Result{
	request.Unknown:   Unknown,
	request.Completed: Completed,
	request.Refused:   Refused,
	request.Failed:    Failed,
}

// verify checks that an answer reported as completed is whole and belongs to the
// request with this mark.
func verify(c Class, body []byte, mark string) (r Result, degraded bool, err error) {
	a, err := target.Verify(body, mark)
	switch {
	case errors.Is(err, &status.Error{Code: target.CodePartial}):
		return Partial, false, err
	case err != nil:
		return Wrong, false, err
	case a.Service != c.Host || a.Path != c.Path || a.Received != int64(c.Body):
		return Wrong, false, status.New(target.CodeAnswer, "%s%s answered for %s%s, with %d bytes received of %d",
			a.Service, a.Path, c.Host, c.Path, a.Received, c.Body)
	default:
		return Completed, hasMissingCall(a), nil
	}
}

// hasMissingCall reports whether the answer of an optional call is missing
// anywhere in the call tree.
func hasMissingCall(a target.Answer) bool {
	for _, r := range a.Calls {
		if r.Answer == nil || hasMissingCall(*r.Answer) {
			return true
		}
	}
	return false
}
