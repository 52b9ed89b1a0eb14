// Package client is the library for callers: tickets, jobs, and coming back
// with the right identity after a refusal.
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

// ErrTransport means that no whole answer came: the outcome is open, and the
// same identity may be sent again.
var ErrTransport = errors.New("client: no whole answer")

// ErrGaveUp means that ctx ended before the job had an answer.
var ErrGaveUp = errors.New("client: gave up")

// Config sets a client.
type Config struct {
	// Entries are the addresses of entry VMs or of the balancer.
	Entries []netip.AddrPort
	Token   string
	// Backoff is the first pause before a repetition; it doubles up to
	// MaxBackoff, with jitter.
	Backoff, MaxBackoff time.Duration
	// TLS, when set, is how entries are reached over HTTPS.
	TLS *tls.Config
	// Transport carries the requests; nil takes one of its own.
	Transport http.RoundTripper
}

// Client submits jobs. It may be used from many goroutines.
type Client struct {
	cfg Config
	hc  *http.Client

	mu    sync.Mutex
	grant job.Grant
	id    ticket.ID
	next  uint64
}

// New makes a client.
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

// Do submits the job under identities of its own until it has an answer, a
// refusal that a repetition can't change, or ctx ends. It comes back with the
// same identity as long as the outcome is open, and takes a new one only when
// the old one is certain never to run.
func (c *Client) Do(ctx context.Context, s job.Spec) (job.Answer, error) {
	var a job.Answer
	err := c.repeat(ctx, func(id ticket.JobID) error {
		var err error
		a, err = c.Put(ctx, c.entry(), id, s)
		return err
	})
	return a, err
}

// Request passes one request through to a backend server, under identities of
// its own as Do does, and returns the backend server's whole answer.
func (c *Client) Request(ctx context.Context, kind, contentType string, body []byte) (job.Reply, error) {
	var out job.Reply
	err := c.repeat(ctx, func(id ticket.JobID) error {
		h := http.Header{headerJob: {id.String()}}
		if contentType != "" {
			h.Set("Content-Type", contentType)
		}
		resp, b, err := c.send(ctx, http.MethodPost, c.entry(), "/v1/requests/"+url.PathEscape(kind), h, body)
		if err != nil {
			return err
		}
		if r := refused(resp, b); r != nil {
			return r
		}
		out = job.Reply{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: b}
		return nil
	})
	return out, err
}

// headerJob carries the identity of a request.
const headerJob = "Snipe-Job"

// refused tells a refusal of the system from a backend server's own answer with
// an error status. Both may be JSON; only a refusal has a code of the table.
func refused(resp *http.Response, b []byte) error {
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

// repeat calls submit until it succeeds, is refused for good, or ctx ends.
func (c *Client) repeat(ctx context.Context, submit func(id ticket.JobID) error) error {
	var id ticket.JobID
	fresh := true
	pause := c.cfg.Backoff
	for {
		err := c.try(ctx, &id, fresh, submit)
		if err == nil {
			return nil
		}
		var r *refusal.Refusal
		if errors.As(err, &r) {
			if final(r) {
				return err
			}
			fresh = fresh && id == (ticket.JobID{}) || r.Again == refusal.AgainNew
			c.drop(id.ID, r)
		} else if id != (ticket.JobID{}) {
			fresh = false
		}
		if !wait(ctx, pause, err) {
			return errors.Wrapf(ErrGaveUp, "last: %v", err)
		}
		pause = min(pause*2, c.cfg.MaxBackoff)
	}
}

// try submits once, under a new identity when fresh.
func (c *Client) try(ctx context.Context, id *ticket.JobID, fresh bool, submit func(id ticket.JobID) error) error {
	if fresh {
		next, err := c.Next(ctx)
		if err != nil {
			*id = ticket.JobID{}
			return err
		}
		*id = next
	}
	return submit(*id)
}

// final tells whether coming back can't change anything: by the refusal's own
// word, or because a new identity would fare no better.
func final(r *refusal.Refusal) bool {
	switch r.Code {
	case refusal.NoRoute, refusal.NeedsID, refusal.Hopeless:
		return true
	}
	return r.Again == refusal.AgainNever
}

// drop gives up a ticket that is of no use for further jobs: its owner stops or
// can't be reached, or it is used up. The job that was refused keeps its
// identity where the refusal says so.
func (c *Client) drop(id ticket.ID, r *refusal.Refusal) {
	switch r.Code {
	case refusal.Stopping, refusal.OwnerGone, refusal.OwnerUnreachable, refusal.OutOfRange:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == id {
		c.renew()
	}
}

// wait pauses before a repetition: at least as long as the refusal asks for,
// and with jitter, so that callers who were refused together don't come back
// together.
func wait(ctx context.Context, pause time.Duration, err error) bool {
	return clock.Sleep(ctx, retryAfter(err)+pause/2+rand.N(pause))
}

func retryAfter(err error) time.Duration {
	var r *refusal.Refusal
	var b *busyError
	switch {
	case errors.As(err, &r):
		return time.Duration(r.RetryAfterMS) * time.Millisecond
	case errors.As(err, &b):
		return b.after
	}
	return 0
}

// busyError is an answer that is no refusal of ours: a balancer's, or one that
// was cut off.
type busyError struct {
	status int
	after  time.Duration
}

// Error makes busyError an error.
func (b *busyError) Error() string { return "status " + strconv.Itoa(b.status) }

// Unwrap tells that the outcome is open.
func (b *busyError) Unwrap() error { return ErrTransport }

// Next takes the next identity, with a new ticket when the old one is used up
// or when its owner refuses new work.
func (c *Client) Next(ctx context.Context) (ticket.JobID, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next >= c.grant.Limit {
		if err := c.mint(ctx); err != nil {
			return ticket.JobID{}, err
		}
	}
	id := c.id.Job(c.next)
	c.next++
	return id, nil
}

func (c *Client) mint(ctx context.Context) error {
	var g job.Grant
	if err := c.call(ctx, http.MethodPost, c.entry(), "/v1/tickets", nil, &g); err != nil {
		return err
	}
	id, err := ticket.ParseID(g.Ticket)
	if err != nil {
		return errors.Wrap(err, "client: ticket")
	}
	c.grant, c.id, c.next = g, id, g.First
	return nil
}

// Renew drops the current ticket, so that the next identity is of a new one.
func (c *Client) Renew() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.renew()
}

func (c *Client) renew() {
	c.grant, c.id, c.next = job.Grant{}, ticket.ID{}, 0
}

// Put submits the job once under the id, over the given entry.
func (c *Client) Put(ctx context.Context, entry netip.AddrPort, id ticket.JobID, s job.Spec) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodPut, entry, "/v1/jobs/"+id.String(), s, &a)
	return a, err
}

// Get asks for a job's answer.
func (c *Client) Get(ctx context.Context, entry netip.AddrPort, id ticket.JobID) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodGet, entry, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

// Cancel asks that no more tasks of the job start.
func (c *Client) Cancel(ctx context.Context, entry netip.AddrPort, id ticket.JobID) (job.Answer, error) {
	var a job.Answer
	err := c.call(ctx, http.MethodDelete, entry, "/v1/jobs/"+id.String(), nil, &a)
	return a, err
}

func (c *Client) entry() netip.AddrPort {
	return c.cfg.Entries[rand.IntN(len(c.cfg.Entries))]
}

// call exchanges JSON with an entry.
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
	if r := refused(resp, b); r != nil {
		return r
	}
	seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	return &busyError{resp.StatusCode, time.Duration(max(seconds, 0)) * time.Second}
}

// send makes one HTTP request and reads the whole answer.
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
