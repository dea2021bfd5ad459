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

func answered(code int, err error) error {
	return fmt.Errorf("operation: %w", &awshttp.ResponseError{ResponseError: &smithyhttp.ResponseError{
		Response: &smithyhttp.Response{Response: &http.Response{StatusCode: code}},
		Err:      err,
	}})
}

func canceled(codes ...string) error {
	e := &types.TransactionCanceledException{}
	for _, c := range codes {
		e.CancellationReasons = append(e.CancellationReasons, types.CancellationReason{Code: aws.String(c)})
	}
	return answered(400, e)
}

// Symptom: a write is repeated that had taken effect, or a race is taken for
// lost that nobody else had run.
// Events: a call fails in one of the ways below.
// Cause: the failure was taken for another than it is.
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
		{"condition", answered(400, &types.ConditionalCheckFailedException{}), true, Write, port.ErrConditionFailed},
		{"transaction's condition", canceled("None", "ConditionalCheckFailed"), true, Write, port.ErrConditionFailed},
		{"transaction's conflict", canceled("None", "TransactionConflict"), true, Write, port.ErrUnavailable},
		{"throttled write", answered(400, &types.ProvisionedThroughputExceededException{}), true, Write, port.ErrUnavailable},
		{"forbidden write", answered(403, errors.New("no")), true, Write, port.ErrUnavailable},
		{"no such object", answered(404, &smithy.GenericAPIError{Code: "NoSuchKey"}), true, Read, port.ErrNotFound},
		{"server's failure of a write", answered(500, &types.InternalServerError{}), true, Write, port.ErrAmbiguous},
		{"server's failure of a read", answered(500, &types.InternalServerError{}), true, Read, port.ErrUnavailable},
		{"server gave up waiting for a write", answered(408, errors.New("slow")), true, Write, port.ErrAmbiguous},
		{"unreadable answer to a write", answered(200, errors.New("EOF")), true, Write, port.ErrAmbiguous},
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
			is.True(errors.Is(got, tc.err)) // the cause stays
		})
	}
}
