// Package delivery sends one attempt of a task to a backend server over HTTP and
// returns its outcome.
//
// The outcome decides whether the task may be tried on another backend server, so the
// package is strict about it. "Not run" needs proof: no byte of the request was handed
// to the kernel, or the backend server refused the task as the protocol defines. Any
// other failure is "unknown".
//
// The transport of net/http retries some requests after it has lost a connection. This
// is ruled out here, because the requests are POST, have no idempotency key and have a
// body that can't be read again. HTTP/2, redirects and proxies from the environment are
// disabled for the same reason.
package delivery

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strconv"
	"time"
)

// The headers of the protocol with backend servers.
const (
	// HeaderTask carries the task's id; the backend server echoes it.
	HeaderTask = "Snipe-Task"
	// HeaderLease carries the time that the backend server has for the task, in
	// milliseconds.
	HeaderLease = "Snipe-Lease-Ms"
	// HeaderRan is "no" on a 503 response if the task was not started.
	HeaderRan = "Snipe-Ran"
)

const (
	defaultContentType = "application/json"
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	maxHeaderBytes     = 64 << 10
)

// Attempt is one attempt of one task on one backend server.
type Attempt struct {
	Server netip.AddrPort
	// Kind is the kind of the task, the last element of the request's path. It is
	// unrelated to the Kind of an Outcome.
	Kind string
	// Task is the id of the attempt, which the backend server records and echoes.
	Task string
	Body []byte
	// Type is the content type of Body; empty means JSON.
	Type string
	// Expires is when the lease ends. Without a complete answer by then, the
	// outcome is Unknown, or NotRun if no byte of the request was sent.
	Expires time.Time
}

// TaskID returns the id of an attempt for backend servers, made of job, index and
// attempt.
func TaskID(job string, index, attempt int) string {
	return job + "/" + strconv.Itoa(index) + "/" + strconv.Itoa(attempt)
}

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	httpClient     *http.Client
	maxAnswerBytes int64
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a client that accepts answers of up to maxAnswerBytes, opens connections
// with dial and keeps up to maxIdlePerServer idle ones to each backend server.
func New(maxAnswerBytes int64, maxIdlePerServer int, dial Dial) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		Proxy:                  nil,
		DialContext:            countWrites(dial),
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	}
	hc := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{httpClient: hc, maxAnswerBytes: maxAnswerBytes}
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// oneTimeReader hides the body's type from http.NewRequest, which would otherwise set
// GetBody and so allow the transport to send the body a second time.
type oneTimeReader struct{ io.Reader }

// Deliver sends the attempt and returns its outcome: at the latest when the lease ends,
// and earlier if the answer is complete or the attempt has failed.
func (c *Client) Deliver(ctx context.Context, a Attempt) Outcome {
	lease := time.Until(a.Expires)
	if lease <= 0 {
		return Outcome{Kind: NotRun, Cause: LeaseExpired, Reason: "no time left"}
	}
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	var tracker connTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: tracker.gotConn})
	req, err := newRequest(ctx, a, lease)
	if err != nil {
		return Outcome{Kind: NotRun, Cause: Malformed, Reason: err.Error()}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return failedOutcome(err, tracker.seal())
	}
	defer func() { _ = resp.Body.Close() }()
	return c.readOutcome(resp, a.Task)
}

func newRequest(ctx context.Context, a Attempt, lease time.Duration) (*http.Request, error) {
	u := "http://" + a.Server.String() + "/v1/tasks/" + url.PathEscape(a.Kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, oneTimeReader{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Body))
	req.Header.Set("Content-Type", defaultContentType)
	if a.Type != "" {
		req.Header.Set("Content-Type", a.Type)
	}
	req.Header.Set(HeaderTask, a.Task)
	req.Header.Set(HeaderLease, strconv.FormatInt(max(lease.Milliseconds(), 1), 10))
	return req, nil
}
