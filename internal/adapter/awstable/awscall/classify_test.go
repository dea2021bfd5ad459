package awscall

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/matryer/is"

	"peardrift/internal/port"
)

func responseError(code int, err error) error {
	return fmt.Errorf("operation: %w", &awshttp.ResponseError{ResponseError: &smithyhttp.ResponseError{
		Response: &smithyhttp.Response{Response: &http.Response{StatusCode: code}},
		Err:      err,
	}})
}

func canceledError(codes ...string) error {
	e := &types.TransactionCanceledException{}
	for _, c := range codes {
		e.CancellationReasons = append(e.CancellationReasons, types.CancellationReason{Code: aws.String(c)})
	}
	return responseError(400, e)
}

// A misclassified error makes a caller repeat a write that took effect, or assume
// that another writer won when there was none.
func TestClassify(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: errors.New("connection reset by peer")}
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for _, tc := range []struct {
		name string
		err  error
		sent bool
		kind Kind
		want error
	}{
		{"nothing", nil, true, Write, nil},
		{"condition", responseError(400, &types.ConditionalCheckFailedException{}), true, Write, port.ErrConditionFailed},
		{"transaction's condition", canceledError("None", "ConditionalCheckFailed"), true, Write, port.ErrConditionFailed},
		{"transaction's conflict", canceledError("None", "TransactionConflict"), true, Write, port.ErrUnavailable},
		{"throttled write", responseError(400, &types.ProvisionedThroughputExceededException{}), true, Write, port.ErrUnavailable},
		{"forbidden write", responseError(403, errors.New("no")), true, Write, port.ErrUnavailable},
		{"no such object", responseError(404, &smithy.GenericAPIError{Code: "NoSuchKey"}), true, Read, port.ErrNotFound},
		{"server's failure of a write", responseError(500, &types.InternalServerError{}), true, Write, port.ErrAmbiguous},
		{"server's failure of a read", responseError(500, &types.InternalServerError{}), true, Read, port.ErrUnavailable},
		{"server gave up waiting for a write", responseError(408, errors.New("slow")), true, Write, port.ErrAmbiguous},
		{"unreadable answer to a write", responseError(200, errors.New("EOF")), true, Write, port.ErrAmbiguous},
		{"refused connection", dial, false, Write, port.ErrUnavailable},
		{"reset write", reset, true, Write, port.ErrAmbiguous},
		{"reset read", reset, true, Read, port.ErrUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			got := Classify(tc.err, tc.kind, tc.sent, "put")
			if tc.want == nil {
				is.NoErr(got)
				return
			}
			is.True(errors.Is(got, tc.want))
			is.True(errors.Is(got, tc.err)) // the cause is preserved
		})
	}
}
