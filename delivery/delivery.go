// Package delivery runs one attempt of a task on a backend server over HTTP
// and says what became of it.
//
// The outcome decides whether the task may be tried elsewhere, so the package
// is strict about it. "Not run" needs proof: the connection was refused, or the
// backend server said so in the agreed way. Whatever else goes wrong is
// "unknown". The standard transport repeats some requests by itself after a
// lost connection; requests here are POST without an idempotency key and
// without a way to read the body again, which rules that out.
package delivery

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
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

// Kind says what became of an attempt.
type Kind int

// The kinds of outcome.
const (
	// Done means that the whole answer is there.
	Done Kind = iota + 1
	// NotRun means that the task was certainly not started.
	NotRun
	// Unknown means that it may have run.
	Unknown
)

// Attempt is one try of one task on one backend server.
type Attempt struct {
	Server  netip.AddrPort
	Kind    string
	Task    string
	Body    []byte
	Expires time.Time
}

// Outcome is what became of an attempt.
type Outcome struct {
	Kind   Kind
	Status int
	Body   []byte
	Type   string
	Reason string
}

// TaskID names an attempt for the backend server's records: job, index and
// attempt.
func TaskID(job string, index, attempt int) string {
	return job + "/" + strconv.Itoa(index) + "/" + strconv.Itoa(attempt)
}

// Client speaks to backend servers.
type Client struct {
	hc       *http.Client
	maxBytes int64
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New makes a client that accepts answers of up to maxBytes and keeps up to
// perServer idle connections to each backend server; dial opens them.
func New(maxBytes int64, perServer int, dial Dial) *Client {
	tr := &http.Transport{
		Proxy:               nil,
		DialContext:         dial,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: perServer,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
		ForceAttemptHTTP2:   false,
	}
	hc := &http.Client{
		Transport:     tr,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{hc: hc, maxBytes: maxBytes}
}

// oneTime hides the body's type from http.NewRequest, which would otherwise
// set GetBody and thereby let the transport send the body a second time.
type oneTime struct{ io.Reader }

// Deliver runs the attempt. It returns when the answer is whole, when it is
// certain that the task was not started, or when its lease is over.
func (c *Client) Deliver(ctx context.Context, a Attempt) Outcome {
	lease := time.Until(a.Expires)
	if lease <= 0 {
		return Outcome{Kind: NotRun, Reason: "no time left"}
	}
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	u := "http://" + a.Server.String() + "/v1/tasks/" + a.Kind
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, oneTime{bytes.NewReader(a.Body)})
	if err != nil {
		return Outcome{Kind: NotRun, Reason: err.Error()}
	}
	req.ContentLength = int64(len(a.Body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderTask, a.Task)
	req.Header.Set(HeaderLease, strconv.FormatInt(lease.Milliseconds(), 10))
	resp, err := c.hc.Do(req)
	if err != nil {
		return failed(err)
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(resp, a.Task)
}

func (c *Client) read(resp *http.Response, task string) Outcome {
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	switch {
	case err != nil:
		return Outcome{Kind: Unknown, Status: resp.StatusCode, Reason: "answer cut off: " + err.Error()}
	case refused(resp):
		return Outcome{Kind: NotRun, Status: resp.StatusCode, Reason: "refused by the backend server"}
	case resp.StatusCode != http.StatusOK:
		return Outcome{Kind: Unknown, Status: resp.StatusCode, Reason: "status " + strconv.Itoa(resp.StatusCode)}
	case resp.Header.Get(HeaderTask) != task:
		return Outcome{Kind: Unknown, Status: resp.StatusCode, Reason: "answer to another task"}
	case int64(len(body)) > c.maxBytes:
		return Outcome{Kind: Unknown, Status: resp.StatusCode, Reason: "answer too large"}
	}
	return Outcome{Kind: Done, Status: resp.StatusCode, Body: body, Type: resp.Header.Get("Content-Type")}
}

func refused(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		return true
	case http.StatusServiceUnavailable:
		return strings.EqualFold(resp.Header.Get(HeaderRan), "no")
	}
	return false
}

// failed tells "not run" only where the kernel refused the connection: no
// byte of the request has then left this process.
func failed(err error) Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Outcome{Kind: NotRun, Reason: err.Error()}
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return Outcome{Kind: NotRun, Reason: err.Error()}
	}
	return Outcome{Kind: Unknown, Reason: err.Error()}
}
