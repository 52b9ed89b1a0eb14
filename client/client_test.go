package client_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/client"
	"snipehub.example/job"
	"snipehub.example/refusal"
)

// entry is an entry VM that refuses the first submissions, one after the other,
// and then answers. It mints tickets of streams 1, 2, ...
type entry struct {
	refusals []*refusal.Refusal
	balancer bool
	minted   int
	puts     []string
	times    []time.Time
}

func (e *entry) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		e.minted++
		g := job.Grant{Ticket: "dc1.vm0.hub." + strings.Repeat("1", e.minted) + ".1", Limit: 100}
		return respond(http.StatusCreated, g), nil
	}
	e.puts = append(e.puts, strings.TrimPrefix(r.URL.Path, "/v1/jobs/dc1.vm0.hub."))
	e.times = append(e.times, time.Now())
	if e.balancer {
		e.balancer = false
		resp := respond(http.StatusServiceUnavailable, "busy")
		resp.Header.Set("Retry-After", "7")
		return resp, nil
	}
	if len(e.refusals) > 0 {
		out := e.refusals[0]
		e.refusals = e.refusals[1:]
		return respond(out.Status(), out), nil
	}
	return respond(http.StatusOK, job.Answer{State: job.Done}), nil
}

func respond(status int, v any) *http.Response {
	b, _ := json.Marshal(v)
	return &http.Response{StatusCode: status, Header: make(http.Header), Body: io.NopCloser(strings.NewReader(string(b)))}
}

// A job is refused. With an open outcome the caller must come back with the
// same identity: under a new one the order could go out twice. After a "not
// run" it must take a new one, since the old one never runs. And a ticket whose
// owner stops or is lost is of no use for the next job.
func TestComesBackWithTheRightIdentity(t *testing.T) {
	for _, e := range refusal.All() {
		t.Run(string(e.Code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				in := &entry{refusals: []*refusal.Refusal{refusal.New(e.Code, "")}}
				c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: in})
				_, err := c.Do(context.Background(), job.Spec{Kind: "price"})
				switch puts := strings.Join(in.puts, " "); {
				case len(in.puts) == 1:
					if err == nil || e.Again == refusal.AgainSame {
						t.Errorf("gave up: %v", err)
					}
				case e.Again == refusal.AgainSame && puts != "1.1.0 1.1.0":
					t.Errorf("came back as %s", puts)
				case e.Again == refusal.AgainNew && in.puts[0] == in.puts[1]:
					t.Errorf("came back as %s", puts)
				case e.Again == refusal.AgainNever:
					t.Errorf("came back after a final refusal")
				}
				lost := e.Code == refusal.Stopping || e.Code == refusal.OwnerUnreachable
				if _, _ = c.Do(context.Background(), job.Spec{}); lost && in.minted != 2 {
					t.Errorf("%d tickets", in.minted)
				}
			})
		})
	}
}

// The system asks callers to stay away for a while, by its own refusal or by the
// balancer's. A caller that comes back sooner makes the overload worse.
func TestHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		in := &entry{balancer: true, refusals: []*refusal.Refusal{refusal.New(refusal.Overloaded, "").After(5 * time.Second)}}
		c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: in})
		if _, err := c.Do(context.Background(), job.Spec{}); err != nil {
			t.Fatal(err)
		}
		if d := in.times[1].Sub(in.times[0]); d < 7*time.Second || d > 8*time.Second {
			t.Errorf("came back after %v, want 7 s", d)
		}
		if d := in.times[2].Sub(in.times[1]); d < 5*time.Second || d > 6*time.Second {
			t.Errorf("came back after %v, want 5 s", d)
		}
		if in.puts[0] != in.puts[1] || in.puts[1] == in.puts[2] {
			t.Errorf("submitted as %v", in.puts)
		}
	})
}

// A charge is sent under an identity of its own; when its outcome is open it is
// sent again under the same one, and an error of the backend server is its answer
// and no reason to come back.
func TestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var jobs []string
		answers := []*http.Response{
			respond(http.StatusServiceUnavailable, refusal.New(refusal.OwnerUnreachable, "")),
			respond(http.StatusConflict, map[string]string{"code": "sold_out"}),
		}
		carry := roundTrip(func(r *http.Request) (*http.Response, error) {
			if r.URL.Path == "/v1/tickets" {
				return respond(http.StatusCreated, job.Grant{Ticket: "dc1.vm0.hub.1.1", Limit: 100}), nil
			}
			jobs = append(jobs, r.Header.Get("Snipe-Job"))
			a := answers[0]
			answers = answers[1:]
			return a, nil
		})
		c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: carry})
		out, err := c.Request(context.Background(), "charge", "application/json", []byte("1"))
		if err != nil || out.Status != http.StatusConflict {
			t.Errorf("%+v %v", out, err)
		}
		if len(jobs) != 2 || jobs[0] == "" || jobs[0] != jobs[1] {
			t.Errorf("sent as %q", jobs)
		}
	})
}

type roundTrip func(r *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
