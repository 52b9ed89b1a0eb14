// Package delivery runs one attempt of a task on a backend server over HTTP
// and says what became of it.
//
// The outcome decides whether the task may be tried elsewhere, so the package
// is strict about it. "Not run" needs proof: no byte of the request was handed
// to the kernel, or the backend server refused in the agreed way. Whatever else
// goes wrong is "unknown".
//
// The standard transport repeats some requests by itself after a lost
// connection. Requests here are POST without an idempotency key and without a
// way to read the body again, which rules that out; HTTP/2, redirects and
// proxies from the environment are off for the same reason.
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

// The headers agreed with backend servers.
const (
	// HeaderTask carries the task's id; the backend server echoes it.
	HeaderTask = "Snipe-Task"
	// HeaderLease carries how long the backend server may work on the task,
	// in milliseconds.
	HeaderLease = "Snipe-Lease-Ms"
	// HeaderRan is "no" on a 503 that tells that the task was not started.
	HeaderRan = "Snipe-Ran"
)

const (
	defaultType    = "application/json"
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Attempt is one try of one task on one backend server.
type Attempt struct {
	Server netip.AddrPort
	Kind   string
	// Task is the id that the backend server records and echoes.
	Task string
	Body []byte
	// Type is the content type of Body; empty means JSON.
	Type string
	// Expires ends the lease. The outcome is unknown when it passes without
	// a whole answer.
	Expires time.Time
}

// TaskID names an attempt for the backend server's records: job, index and
// attempt.
func TaskID(job string, index, attempt int) string {
	return job + "/" + strconv.Itoa(index) + "/" + strconv.Itoa(attempt)
}

// Client speaks to backend servers. Its methods may be called from any
// goroutine.
type Client struct {
	hc       *http.Client
	maxBytes int64
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a client that accepts answers of up to maxBytes and keeps up to
// perServer idle connections to each backend server; dial opens them.
func New(maxBytes int64, perServer int, dial Dial) *Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	tr := &http.Transport{
		Proxy:                  nil,
		DialContext:            counting(dial),
		MaxIdleConnsPerHost:    perServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
		Protocols:              protocols,
	}
	hc := &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{hc: hc, maxBytes: maxBytes}
}

// Close closes the idle connections.
func (c *Client) Close() { c.hc.CloseIdleConnections() }

// oneTime hides the body's type from http.NewRequest, which would otherwise
// set GetBody and thereby let the transport send the body a second time.
type oneTime struct{ io.Reader }

// Deliver runs the attempt. It returns when the answer is whole, when it is
// certain that the task was not started, or when its lease is over.
func (c *Client) Deliver(ctx context.Context, a Attempt) Outcome {
	lease := time.Until(a.Expires)
	if lease <= 0 {
		return Outcome{Kind: NotRun, Cause: NoTime, Reason: "no time left"}
	}
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	var sent record
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req, err := request(ctx, a, lease)
	if err != nil {
		return Outcome{Kind: NotRun, Cause: Malformed, Reason: err.Error()}
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return failed(err, sent.seal())
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(resp, a.Task)
}

func request(ctx context.Context, a Attempt, lease time.Duration) (*http.Request, error) {
	u := "http://" + a.Server.String() + "/v1/tasks/" + url.PathEscape(a.Kind)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, oneTime{bytes.NewReader(a.Body)})
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(a.Body))
	req.Header.Set("Content-Type", defaultType)
	if a.Type != "" {
		req.Header.Set("Content-Type", a.Type)
	}
	req.Header.Set(HeaderTask, a.Task)
	req.Header.Set(HeaderLease, strconv.FormatInt(max(lease.Milliseconds(), 1), 10))
	return req, nil
}
