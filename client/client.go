// Package client is the library for callers: tickets, jobs, and coming back
// with the right identity after a refusal.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

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
	tr := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 256}
	return &Client{cfg: cfg, hc: &http.Client{Transport: tr}}
}

// Do submits the job under identities of its own until it has an answer, a
// refusal that a repetition can't change, or ctx ends.
func (c *Client) Do(ctx context.Context, s job.Spec) (job.Answer, error) {
	var id ticket.JobID
	fresh := true
	pause := c.cfg.Backoff
	for {
		var err error
		if fresh {
			id, err = c.Next(ctx)
		}
		if err == nil {
			fresh = false
			var a job.Answer
			a, err = c.Put(ctx, c.entry(), id, s)
			if err == nil {
				return a, nil
			}
		}
		var r *refusal.Refusal
		if errors.As(err, &r) {
			switch r.Again {
			case refusal.AgainNever:
				return job.Answer{}, err
			case refusal.AgainNew:
				if !comesBack(r) {
					return job.Answer{}, err
				}
				fresh = true
			case refusal.AgainSame:
			}
		}
		if !wait(ctx, pause, r) {
			return job.Answer{}, errors.Wrapf(ErrGaveUp, "last: %v", err)
		}
		pause = min(pause*2, c.cfg.MaxBackoff)
	}
}

// comesBack tells whether a new identity can fare better than the refused one.
func comesBack(r *refusal.Refusal) bool {
	switch r.Code {
	case refusal.BadRequest, refusal.NoRoute, refusal.NeedsID, refusal.Hopeless:
		return false
	}
	return true
}

func wait(ctx context.Context, pause time.Duration, r *refusal.Refusal) bool {
	d := pause/2 + rand.N(pause)
	if r != nil {
		d = max(d, time.Duration(r.RetryAfterMS)*time.Millisecond)
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

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
	c.grant = job.Grant{}
	c.next = 0
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

func (c *Client) call(ctx context.Context, method string, entry netip.AddrPort, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "client")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, body)
	if err != nil {
		return errors.Wrap(err, "client")
	}
	if c.cfg.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	}
	resp, err := c.hc.Do(req)
	if err != nil {
		return errors.Wrap(ErrTransport, err.Error())
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(ErrTransport, err.Error())
	}
	if resp.StatusCode < 300 {
		if err := json.Unmarshal(b, out); err != nil {
			return errors.Wrap(ErrTransport, err.Error())
		}
		return nil
	}
	var r refusal.Refusal
	if err := json.Unmarshal(b, &r); err != nil || r.Code == "" {
		return errors.Wrap(ErrTransport, "status "+strconv.Itoa(resp.StatusCode))
	}
	return &r
}
