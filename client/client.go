// Package client is the library for callers. It obtains tickets, submits jobs and
// requests, and retries them with the right identity after a refusal.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/clock"
	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// ErrTransport means that no complete answer of a dispatcher has arrived, for example because
// the load balancer answered with an error: the outcome is unknown, and the same identity may
// be sent again.
var ErrTransport = errors.New("client: no complete answer")

// ErrGaveUp means that ctx ended before the job had an answer.
var ErrGaveUp = errors.New("client: gave up")

// Config configures a Client.
type Config struct {
	// Entries are the addresses of entry VMs or of the load balancer.
	Entries []netip.AddrPort
	Token   string
	// Backoff is the pause before the first retry. It doubles with each further retry, up
	// to MaxBackoff, and has jitter. The defaults are 50 ms and 2 s.
	Backoff, MaxBackoff time.Duration
	// TLS is the configuration for HTTPS; nil means plain HTTP.
	TLS *tls.Config
	// Transport sends the requests. If it is nil, the client creates one.
	Transport http.RoundTripper
}

// Client submits jobs and requests. It is safe for concurrent use.
type Client struct {
	cfg Config
	hc  *http.Client

	mu       sync.Mutex
	grant    job.Grant
	ticketID ticket.ID
	nextSeq  uint64
}

// New returns a client for the given configuration.
func New(cfg Config) *Client {
	if cfg.Backoff <= 0 {
		cfg.Backoff = 50 * time.Millisecond
	}
	if cfg.MaxBackoff <= 0 {
		cfg.MaxBackoff = 2 * time.Second
	}
	if cfg.Transport == nil {
		cfg.Transport = &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 256, TLSClientConfig: cfg.TLS}
	}
	return &Client{cfg: cfg, hc: &http.Client{Transport: cfg.Transport}}
}

// Do submits the job until it gets an answer or a final refusal, or ctx ends. It takes the
// job's identity from the client's ticket, retries with the same identity while the outcome
// is unknown, and takes a new one only if the old one is certain never to run.
func (c *Client) Do(ctx context.Context, s job.Spec) (job.Answer, error) {
	var a job.Answer
	err := c.retry(ctx, func(id ticket.JobID) error {
		var err error
		a, err = c.Put(ctx, c.randomEntry(), id, s)
		return err
	})
	return a, err
}

// Request sends one request to a backend server and returns the backend server's complete
// answer. It chooses identities and retries as Do does.
func (c *Client) Request(ctx context.Context, kind, contentType string, body []byte) (job.Reply, error) {
	var out job.Reply
	err := c.retry(ctx, func(id ticket.JobID) error {
		h := http.Header{headerJob: {id.String()}}
		if contentType != "" {
			h.Set("Content-Type", contentType)
		}
		resp, b, err := c.send(ctx, http.MethodPost, c.randomEntry(), "/v1/requests/"+url.PathEscape(kind), h, body)
		if err != nil {
			return err
		}
		if r := parseRefusal(resp, b); r != nil {
			return r
		}
		out = job.Reply{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: b}
		return nil
	})
	return out, err
}

// headerJob is the header that carries the identity of a request.
const headerJob = "Snipe-Job"

// parseRefusal returns the refusal in an answer, nil if there is none. A backend server's
// answer with an error status may be JSON as well; only a refusal has a code of the
// refusal table together with the status of that code.
func parseRefusal(resp *http.Response, b []byte) error {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	var r refusal.Refusal
	if json.Unmarshal(b, &r) != nil {
		return nil
	}
	if e, ok := refusal.Find(r.Code); !ok || e.Status != resp.StatusCode {
		return nil
	}
	return &r
}

// retry calls submit until it succeeds, a refusal is final, or ctx ends.
func (c *Client) retry(ctx context.Context, submit func(id ticket.JobID) error) error {
	var id ticket.JobID
	// needNewID stays set until an identity has been obtained. After that, only a refusal
	// that asks for a new identity sets it again.
	needNewID := true
	backoff := c.cfg.Backoff
	for {
		err := c.attempt(ctx, &id, needNewID, submit)
		if err == nil {
			return nil
		}
		var r *refusal.Refusal
		if errors.As(err, &r) {
			if isFinal(r) {
				return err
			}
			needNewID = needNewID && id == (ticket.JobID{}) || r.Again == refusal.AgainNew
			c.dropTicketIfUseless(id.ID, r)
		} else if id != (ticket.JobID{}) {
			needNewID = false
		}
		if !sleepBeforeRetry(ctx, backoff, err) {
			return errors.Wrapf(ErrGaveUp, "last: %v", err)
		}
		backoff = min(backoff*2, c.cfg.MaxBackoff)
	}
}

// attempt calls submit once. If needNewID is set, it takes a new identity first and stores
// it in id.
func (c *Client) attempt(ctx context.Context, id *ticket.JobID, needNewID bool, submit func(id ticket.JobID) error) error {
	if needNewID {
		next, err := c.NextID(ctx)
		if err != nil {
			*id = ticket.JobID{}
			return err
		}
		*id = next
	}
	return submit(*id)
}

// isFinal reports whether a retry is useless, either because the refusal says so, or because
// a new identity would be refused for the same reason.
func isFinal(r *refusal.Refusal) bool {
	switch r.Code {
	case refusal.NoRoute, refusal.NeedsID, refusal.Hopeless:
		return true
	}
	return r.Again == refusal.AgainNever
}

// dropTicketIfUseless discards the current ticket if it is the one with this id and the
// refusal makes it useless for further jobs: its owner is stopping, gone or unreachable, or
// the sequence is out of range. It does not change the identity with which the refused job is
// retried.
func (c *Client) dropTicketIfUseless(id ticket.ID, r *refusal.Refusal) {
	switch r.Code {
	case refusal.Stopping, refusal.OwnerGone, refusal.OwnerUnreachable, refusal.OutOfRange:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ticketID == id {
		c.dropCurrentTicket()
	}
}

// sleepBeforeRetry waits for the Retry-After of the error, if it has one, plus the backoff with
// jitter, so that callers who were refused at the same time don't retry at the same time. It
// reports whether it waited to the end.
func sleepBeforeRetry(ctx context.Context, backoff time.Duration, err error) bool {
	return clock.Sleep(ctx, retryAfter(err)+backoff/2+rand.N(backoff))
}

func retryAfter(err error) time.Duration {
	var r *refusal.Refusal
	var statusErr *statusError
	switch {
	case errors.As(err, &r):
		return time.Duration(r.RetryAfterMS) * time.Millisecond
	case errors.As(err, &statusErr):
		return statusErr.retryAfter
	}
	return 0
}

// statusError is an error answer that is not a refusal of a dispatcher, for example one of
// the load balancer.
type statusError struct {
	status     int
	retryAfter time.Duration
}

// Error implements error.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }

// Unwrap returns ErrTransport, because the outcome is unknown.
func (e *statusError) Unwrap() error { return ErrTransport }

// NextID returns the next identity. It obtains a new ticket if the current one is used up or
// was dropped.
func (c *Client) NextID(ctx context.Context) (ticket.JobID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nextSeq >= c.grant.Limit {
		if err := c.obtainTicket(ctx); err != nil {
			return ticket.JobID{}, err
		}
	}
	id := c.ticketID.Job(c.nextSeq)
	c.nextSeq++
	return id, nil
}

// obtainTicket replaces the current ticket by a new one. c.mu must be held.
func (c *Client) obtainTicket(ctx context.Context) error {
	var g job.Grant
	if err := c.call(ctx, http.MethodPost, c.randomEntry(), "/v1/tickets", nil, &g); err != nil {
		return err
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		return errors.Wrap(err, "client: ticket")
	}
	c.grant, c.ticketID, c.nextSeq = g, id, g.First
	return nil
}

// DropCurrentTicket drops the current ticket, so that the next identity belongs to a new one.
func (c *Client) DropCurrentTicket() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropCurrentTicket()
}

// dropCurrentTicket discards the current ticket. c.mu must be held.
func (c *Client) dropCurrentTicket() {
	c.grant, c.ticketID, c.nextSeq = job.Grant{}, ticket.ID{}, 0
}

// Put submits the job once with the given id to the entry.
func (c *Client) Put(ctx context.Context, entry netip.AddrPort, id ticket.JobID, s job.Spec) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodPut, entry, "/v1/jobs/"+id.String(), s, &a)
	return a, err
}

// Get requests the answer of a job from the entry.
func (c *Client) Get(ctx context.Context, entry netip.AddrPort, id ticket.JobID) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodGet, entry, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

// Cancel requests that no more tasks of the job start.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, id ticket.JobID) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodDelete, entry, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

func (c *Client) randomEntry() netip.AddrPort {
	return c.cfg.Entries[rand.IntN(len(c.cfg.Entries))]
}

// call sends in to the entry as JSON and decodes the answer into out.
func (c *Client) call(ctx context.Context, method string, entry netip.AddrPort, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Wrap(err, "client")
		}
	}
	resp, b, err := c.send(ctx, method, entry, path, http.Header{}, body)
	if err != nil {
		return err
	}
	if resp.StatusCode < 300 {
		if err := json.Unmarshal(b, out); err != nil {
			return errors.Wrap(ErrTransport, err.Error())
		}
		return nil
	}
	if r := parseRefusal(resp, b); r != nil {
		return r
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &statusError{resp.StatusCode, time.Duration(max(seconds, 0)) * time.Second}
}

// send sends one HTTP request and reads the complete answer.
func (c *Client) send(ctx context.Context, method string, entry netip.AddrPort, path string, h http.Header, body []byte) (*http.Response, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.scheme()+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "client")
	}
	req.Header = h
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(ErrTransport, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, nil, errors.Wrap(ErrTransport, err.Error())
	}
	return resp, b, nil
}

func (c *Client) scheme() string {
	if c.cfg.TLS != nil {
		return "https://"
	}
	return "http://"
}
