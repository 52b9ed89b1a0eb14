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

// fakeEntry is the transport to an entry VM that answers the first submissions with the
// given refusals and all later ones with success. If balancerRefusesFirst is set, the load
// balancer answers the first submission in its place. The tickets that it mints are of the
// incarnations 1, 11, 111, ...
type fakeEntry struct {
	refusals             []*refusal.Refusal
	balancerRefusesFirst bool
	mintedTickets        int
	submittedIDs         []string
	submittedAt          []time.Time
}

func (e *fakeEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		e.mintedTickets++
		g := job.Grant{Ticket: "dc1.vm0.hub." + strings.Repeat("1", e.mintedTickets) + ".1", Limit: 100}
		return respond(http.StatusCreated, g), nil
	}
	e.submittedIDs = append(e.submittedIDs, strings.TrimPrefix(r.URL.Path, "/v1/jobs/dc1.vm0.hub."))
	e.submittedAt = append(e.submittedAt, time.Now())
	if e.balancerRefusesFirst {
		e.balancerRefusesFirst = false
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

// The client must retry a job whose outcome is unknown with the same identity: with a new
// one, the order could run twice. If it retries after "not run", it must take a new identity,
// since the old one never runs. A ticket whose owner is stopping or unreachable must not be
// used for the next job.
func TestComesBackWithTheRightIdentity(t *testing.T) {
	for _, e := range refusal.All() {
		t.Run(string(e.Code), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				entry := &fakeEntry{refusals: []*refusal.Refusal{refusal.New(e.Code, "")}}
				c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: entry})
				_, err := c.Do(context.Background(), job.Spec{Kind: "price"})
				switch submitted := strings.Join(entry.submittedIDs, " "); {
				case len(entry.submittedIDs) == 1:
					if err == nil || e.Again == refusal.AgainSame {
						t.Errorf("gave up: %v", err)
					}
				case e.Again == refusal.AgainSame && submitted != "1.1.0 1.1.0":
					t.Errorf("submitted as %s", submitted)
				case e.Again == refusal.AgainNew && entry.submittedIDs[0] == entry.submittedIDs[1]:
					t.Errorf("submitted as %s", submitted)
				case e.Again == refusal.AgainNever:
					t.Errorf("retried after a final refusal")
				}
				ticketUseless := e.Code == refusal.Stopping || e.Code == refusal.OwnerUnreachable
				if _, _ = c.Do(context.Background(), job.Spec{}); ticketUseless && entry.mintedTickets != 2 {
					t.Errorf("%d tickets", entry.mintedTickets)
				}
			})
		})
	}
}

// The client must wait for the Retry-After of a refusal or of the load balancer. A caller
// that retries sooner makes an overload worse.
func TestHonoursRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		entry := &fakeEntry{balancerRefusesFirst: true, refusals: []*refusal.Refusal{refusal.New(refusal.Overloaded, "").WithRetryAfter(5 * time.Second)}}
		c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: entry})
		if _, err := c.Do(context.Background(), job.Spec{}); err != nil {
			t.Fatal(err)
		}
		if d := entry.submittedAt[1].Sub(entry.submittedAt[0]); d < 7*time.Second || d > 8*time.Second {
			t.Errorf("retried after %v, want 7 s", d)
		}
		if d := entry.submittedAt[2].Sub(entry.submittedAt[1]); d < 5*time.Second || d > 6*time.Second {
			t.Errorf("retried after %v, want 5 s", d)
		}
		if entry.submittedIDs[0] != entry.submittedIDs[1] || entry.submittedIDs[1] == entry.submittedIDs[2] {
			t.Errorf("submitted as %v", entry.submittedIDs)
		}
	})
}

// A request whose outcome is unknown is retried with the same identity. An error answer of
// the backend server is the answer to the request and is not retried.
func TestRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var jobs []string
		answers := []*http.Response{
			respond(http.StatusServiceUnavailable, refusal.New(refusal.OwnerUnreachable, "")),
			respond(http.StatusConflict, map[string]string{"code": "sold_out"}),
		}
		transport := roundTripFunc(func(r *http.Request) (*http.Response, error) {
			if r.URL.Path == "/v1/tickets" {
				return respond(http.StatusCreated, job.Grant{Ticket: "dc1.vm0.hub.1.1", Limit: 100}), nil
			}
			jobs = append(jobs, r.Header.Get("Snipe-Job"))
			a := answers[0]
			answers = answers[1:]
			return a, nil
		})
		c := client.New(client.Config{Entries: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Transport: transport})
		out, err := c.Request(context.Background(), "charge", "application/json", []byte("1"))
		if err != nil || out.Status != http.StatusConflict {
			t.Errorf("%+v %v", out, err)
		}
		if len(jobs) != 2 || jobs[0] == "" || jobs[0] != jobs[1] {
			t.Errorf("sent as %q", jobs)
		}
	})
}

type roundTripFunc func(r *http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
