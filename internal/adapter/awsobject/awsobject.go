// Package awsobject implements port.Objects on an S3-compatible object store with
// the official SDK, using path-style URLs.
//
// A Store is safe for concurrent use. Each call is attempted once. An object's
// name contains its digest, so a caller may repeat a write that failed.
package awsobject

import (
	"bytes"
	"context"
	"io"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/s3"

	"peardrift/internal/adapter/awstable/awscall"
	"peardrift/internal/port"
	"peardrift/internal/status"
)

// MaxObject limits the size of an object in bytes, so that a wrong name can't fill
// a node's memory.
const MaxObject = 16 << 20

// Store implements port.Objects.
type Store struct {
	bucket string
	call   *awscall.Client
	client *s3.Client
}

var _ port.Objects = (*Store)(nil)

// New returns a store for the bucket of the given name.
func New(cfg awscall.Config, bucket string) *Store {
	call := awscall.New(cfg)
	client := s3.New(s3.Options{
		BaseEndpoint: aws.String(cfg.Endpoint),
		Region:       cfg.Region,
		Credentials:  call.Credentials,
		HTTPClient:   call.HTTP,
		Retryer:      call.Retryer,
		UsePathStyle: true,
		// The digest in the name already verifies the content; the SDK's own checksums
		// need extensions that not every store supports.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
	})
	return &Store{bucket: bucket, call: call, client: client}
}

// Close closes the idle connections.
func (s *Store) Close() { s.call.Close() }

// Get implements port.Objects.
func (s *Store) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := s.call.Do(ctx, awscall.Read, "get "+name, func(ctx context.Context) error {
		out, err := s.client.GetObject(ctx, &s3.GetObjectInput{Bucket: &s.bucket, Key: &name})
		if err != nil {
			return err
		}
		defer out.Body.Close()
		body, err = io.ReadAll(io.LimitReader(out.Body, MaxObject+1))
		return err
	})
	if err != nil {
		return nil, err
	}
	if len(body) > MaxObject {
		return nil, status.New(status.CodeTooLarge, "object %s exceeds %d bytes", name, MaxObject)
	}
	return body, nil
}

// Put implements port.Objects.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	if len(body) > MaxObject {
		return status.New(status.CodeTooLarge, "object %s exceeds %d bytes", name, MaxObject)
	}
	return s.call.Do(ctx, awscall.Write, "put "+name, func(ctx context.Context) error {
		_, err := s.client.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &s.bucket,
			Key:    &name,
			Body:   bytes.NewReader(body),
		})
		return err
	})
}
