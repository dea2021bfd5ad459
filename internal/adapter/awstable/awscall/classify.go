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

// Kind tells whether a call can change data.
type Kind bool

// The kinds of calls.
const (
	Read  Kind = false
	Write Kind = true
)

// Service error codes that are classified by name; all others are classified by
// HTTP status.
const (
	codeConditionFailed = "ConditionalCheckFailed" // a reason in a canceled transaction
	codeNoSuchKey       = "NoSuchKey"
	codeNotFound        = "NotFound"
)

// Classify converts the error of a call to one that matches an error of package
// port. sent tells whether any part of the request may have been sent.
//
// It never reports that nothing was written if the write may have taken effect:
// the caller would retry, and the write would take effect twice.
func Classify(err error, kind Kind, sent bool, what string) error {
	if err == nil {
		return nil
	}
	base := classify(err, kind, sent)
	return status.Wrap(base.Code, err, "%s: %s", what, base.Detail)
}

func classify(err error, kind Kind, sent bool) *status.Error {
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
		return classifyCanceled(canceled)
	case errors.As(err, &api) && (api.ErrorCode() == codeNoSuchKey || api.ErrorCode() == codeNotFound):
		return port.ErrNotFound
	case kind == Read || !sent:
		return port.ErrUnavailable
	case errors.As(err, &resp) && isRejected(resp.HTTPStatusCode()):
		return port.ErrUnavailable
	default:
		// The write was sent, and there was no response, an invalid one or a server
		// error.
		return port.ErrAmbiguous
	}
}

// isRejected reports whether a status means that the service did nothing:
// throttling, an invalid signature or an invalid request.
func isRejected(code int) bool {
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError &&
		code != http.StatusRequestTimeout
}

// classifyCanceled returns the error for a canceled transaction, which wrote
// nothing. The reason is either a failed condition or transient, such as a
// conflicting transaction.
func classifyCanceled(e *types.TransactionCanceledException) *status.Error {
	for _, r := range e.CancellationReasons {
		if r.Code != nil && *r.Code == codeConditionFailed {
			return port.ErrConditionFailed
		}
	}
	return port.ErrUnavailable
}
