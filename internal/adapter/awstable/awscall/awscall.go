// Package awscall is what the adapters of the platform's two services share:
// a bounded HTTP client, one attempt per call, and what a failed call may
// truthfully be said to have done.
//
// All functions and the Client are safe for concurrent use.
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

// Config bounds the calls to one service of the platform.
type Config struct {
	// Endpoint is the service's URL, as "http://127.0.0.1:7480". No default.
	Endpoint string
	// Region is the service's region name, part of each signature; default "local".
	Region string
	// AccessKey and SecretKey sign each call. No default.
	AccessKey string
	SecretKey string
	// Timeout bounds one call, connecting included; default 2 s. Lower leaves
	// more writes with a lost answer, higher holds callers of a slow service.
	Timeout time.Duration
	// ConnectTimeout bounds one connection attempt; default 1 s.
	ConnectTimeout time.Duration
	// MaxConns bounds the connections to the service, and so the calls at once;
	// further calls wait within their Timeout. Default 16. Higher serves more
	// calls of a slow service and costs it more connections, times all nodes.
	MaxConns int
	// IdleTimeout closes unused connections; default 30 s. Lower connects more
	// often; above the service's own bound calls meet closed connections.
	IdleTimeout time.Duration
}

// DefaultConfig returns the defaults; Endpoint and keys remain to be set.
func DefaultConfig() Config {
	return Config{
		Region:         "local",
		Timeout:        2 * time.Second,
		ConnectTimeout: time.Second,
		MaxConns:       16,
		IdleTimeout:    30 * time.Second,
	}
}

// Client is what an SDK client is set up with.
type Client struct {
	HTTP        *http.Client
	Credentials aws.CredentialsProvider
	// Retryer makes one attempt only: a conditional write that is repeated
	// after its answer was lost fails its own condition and looks like a race
	// lost to somebody else, though it had taken effect.
	Retryer aws.Retryer
	timeout time.Duration
}

// New returns a client with its own connections.
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

// Do makes one call within the timeout and returns its typed failure, see Classify.
func (c *Client) Do(ctx context.Context, kind Kind, what string, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may go out. Before, the call waited for a
		// connection or failed to open one.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	return Classify(call(ctx), kind, sent.Load(), what)
}
