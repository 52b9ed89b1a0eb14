package claim_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/claim"
	"snipehub.example/ledger"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// sharedLog implements claim.Log with a fakeLog.
type sharedLog struct {
	mu      sync.Mutex
	l       fakeLog
	down    bool
	appends int
}

func (s *sharedLog) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

var errDown = errors.New("down")

func (s *sharedLog) Append(_ context.Context, _ string, data []byte) (ledger.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ledger.None, errDown
	}
	s.appends++
	s.l.now = time.Now()
	s.l.append(data)
	return 0, nil
}

// Read polls for records every 10 ms until wait has passed.
func (s *sharedLog) Read(ctx context.Context, _ string, from ledger.Offset, wait time.Duration) (ledger.Page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		p, down := s.l.read(from, 1000), s.down
		s.mu.Unlock()
		switch {
		case down || ctx.Err() != nil:
			return p, errDown
		case len(p.Records) > 0 || time.Now().After(end):
			return p, nil
		}
	}
}

func startClaimer(ctx context.Context, l claim.Log, name string, share float64) *claim.Claimer {
	p := newProcess(name, cfg)
	c := claim.New(cfg, l, time.Now, func() float64 { return share }, func(string) (ticket.JobID, error) {
		p.next++
		return ticket.ID{Owner: ticket.Owner{DataCenter: "dc1", VM: name, Process: "hub", Incarnation: 1}, Number: 1}.Job(p.next), nil
	})
	go func() { _ = c.ServeReads(ctx) }()
	go func() { _ = c.ServeAppends(ctx) }()
	return c
}

// A hundred callers send the same few keys to two dispatchers at once; then the log goes
// down. Each key must get one identity with few appends. During the outage known keys
// still resolve, and new ones are refused at once as "outcome unknown".
func TestClaimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &sharedLog{l: fakeLog{now: time.Now()}}
		claimers := []*claim.Claimer{startClaimer(ctx, l, "a", 10), startClaimer(ctx, l, "b", 10)}
		time.Sleep(100 * time.Millisecond)
		var mu sync.Mutex
		var wg sync.WaitGroup
		ids := make(map[string]ticket.JobID)
		for i := range 100 {
			wg.Go(func() {
				k := key(time.Now(), byte(i%5)).String()
				id, err := claimers[i%2].Resolve(ctx, "lake", k)
				mu.Lock()
				defer mu.Unlock()
				if had, ok := ids[k]; err != nil || ok && had != id {
					t.Errorf("%s is %v and %v, %v", k, had, id, err)
				}
				ids[k] = id
			})
		}
		wg.Wait()
		if n := l.appendCount(); n > 6 {
			t.Errorf("%d appends for 5 keys", n)
		}
		l.mu.Lock()
		l.down = true
		l.mu.Unlock()
		time.Sleep(time.Second)
		for k, id := range ids {
			if got, err := claimers[0].Resolve(ctx, "lake", k); err != nil || got != id {
				t.Errorf("known key resolves to %v, %v while the log is down", got, err)
			}
		}
		began := time.Now()
		_, err := claimers[0].Resolve(ctx, "lake", key(time.Now(), 99).String())
		if codeOf(err) != refusal.LogDown || time.Since(began) > 0 {
			t.Errorf("%v after %v", err, time.Since(began))
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Keys arrive faster than the process may append. They must share records, so that the
// appends stay within the process's share of the rate.
func TestAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := &sharedLog{l: fakeLog{now: time.Now()}}
		c := startClaimer(ctx, l, "a", 5)
		time.Sleep(6 * time.Second)
		for i := range 100 {
			go func() { _, _ = c.Resolve(ctx, "lake", key(time.Now(), byte(i)).String()) }()
			time.Sleep(20 * time.Millisecond)
		}
		if n := l.appendCount(); n > 12 {
			t.Errorf("%d appends in 2 s, want at most 5 per second", n)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
