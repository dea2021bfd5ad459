// Package awscall is shared by the adapters of the table and object services: an
// HTTP client with limits, one attempt per call, and the classification of failed
// calls by their possible effect.
//
// All functions and Client are safe for concurrent use.
package awscall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
)

// Config configures the calls to one service.
type Config struct {
	// Endpoint is the service's URL, for example "http://127.0.0.1:7480". No
	// default.
	Endpoint string
	// Region is the service's region name, which is part of each signature; default
	// "local".
	Region string
	// AccessKey and SecretKey sign each call. No default.
	AccessKey string
	SecretKey string
	// Timeout limits one call, including connecting; default 2 s. A lower value
	// leaves more writes without a response; a higher one blocks callers of a slow
	// service for longer.
	Timeout time.Duration
	// ConnectTimeout limits one connection attempt; default 1 s.
	ConnectTimeout time.Duration
	// MaxConns limits the connections to the service and thereby the concurrent
	// calls; further calls wait within their Timeout. Default 16. A higher value
	// allows more calls to a slow service, and costs it more connections from every
	// node.
	MaxConns int
	// IdleTimeout closes unused connections; default 30 s. A lower value reconnects
	// more often; above the service's own idle timeout, calls may use connections
	// that the service has closed.
	IdleTimeout time.Duration
}

// DefaultConfig returns the default settings; the caller must set Endpoint and the
// keys.
func DefaultConfig() Config {
	return Config{
		Region:         "local",
		Timeout:        2 * time.Second,
		ConnectTimeout: time.Second,
		MaxConns:       16,
		IdleTimeout:    30 * time.Second,
	}
}

// Client holds what an SDK client is configured with.
type Client struct {
	HTTP        *http.Client
	Credentials aws.CredentialsProvider
	// Retryer makes only one attempt. If a conditional write took effect but its
	// response was lost, a retry would fail its own condition and look as if another
	// writer had won.
	Retryer aws.Retryer
	timeout time.Duration
}

// New returns a client with its own connection pool.
func New(cfg Config) *Client {
	dialer := &net.Dialer{Timeout: cfg.ConnectTimeout}
	return &Client{
		HTTP: &http.Client{
			Transport: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxConnsPerHost:     cfg.MaxConns,
				MaxIdleConns:        cfg.MaxConns,
				MaxIdleConnsPerHost: cfg.MaxConns,
				IdleConnTimeout:     cfg.IdleTimeout,
			},
			// A redirect would send a signed write to another host.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		Credentials: credentials.NewStaticCredentialsProvider(cfg.AccessKey, cfg.SecretKey, ""),
		Retryer:     aws.NopRetryer{},
		timeout:     cfg.Timeout,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Do makes one call within the timeout and returns its error as typed by Classify.
func (c *Client) Do(ctx context.Context, kind Kind, what string, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From this point bytes may be sent. Before it, the call waited for a
		// connection or failed to open one.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	return Classify(call(ctx), kind, sent.Load(), what)
}
