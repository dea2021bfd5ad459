package awscall

import (
	"errors"
	"net/http"

	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"

	"peardrift/internal/port"
	"peardrift/internal/status"
)

// Kind says whether a call can change anything.
type Kind bool

// The kinds of calls.
const (
	Read  Kind = false
	Write Kind = true
)

// Error codes of the services that decide what is said; all others go by the
// HTTP status.
const (
	codeConditionFailed = "ConditionalCheckFailed" // a reason in a cancelled transaction
	codeNoSuchKey       = "NoSuchKey"
	codeNotFound        = "NotFound"
)

// Classify turns a call's failure into one that matches an error of package
// port. sent tells whether any of the request may have left.
//
// It never says "nothing was written" of a write that may have been: such a
// claim would let a caller try again, and the write would take effect twice.
func Classify(err error, kind Kind, sent bool, what string) error {
	if err == nil {
		return nil
	}
	kinds := verdict(err, kind, sent)
	return status.Wrap(kinds.Code, err, "%s: %s", what, kinds.Detail)
}

func verdict(err error, kind Kind, sent bool) *status.Error {
	var (
		failed   *types.ConditionalCheckFailedException
		canceled *types.TransactionCanceledException
		api      smithy.APIError
		resp     *awshttp.ResponseError
	)
	switch {
	case errors.As(err, &failed):
		return port.ErrConditionFailed
	case errors.As(err, &canceled):
		return canceledVerdict(canceled)
	case errors.As(err, &api) && (api.ErrorCode() == codeNoSuchKey || api.ErrorCode() == codeNotFound):
		return port.ErrNotFound
	case kind == Read || !sent:
		return port.ErrUnavailable
	case errors.As(err, &resp) && refused(resp.HTTPStatusCode()):
		return port.ErrUnavailable
	default:
		// No answer, an unreadable one, or a server's own failure, after the
		// write was sent.
		return port.ErrAmbiguous
	}
}

// refused reports whether a status says that the service did nothing:
// throttling, a signature or a request that it doesn't accept.
func refused(code int) bool {
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError &&
		code != http.StatusRequestTimeout
}

// canceledVerdict reads why a transaction was cancelled, which wrote nothing:
// a condition, or a passing reason such as another transaction in progress.
func canceledVerdict(e *types.TransactionCanceledException) *status.Error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == codeConditionFailed {
			return port.ErrConditionFailed
		}
	}
	return port.ErrUnavailable
}
