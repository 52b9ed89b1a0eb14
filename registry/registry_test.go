package registry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
)

// topic is a topic in memory whose answers can be delayed, refused or lost.
type topic struct {
	mu      sync.Mutex
	records []Record
	first   Offset
	fail    error
	silent  bool
	calls   int
}

func (s *topic) append(keys ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range keys {
		s.records = append(s.records, Record{Key: k, Offset: Offset(len(s.records))})
	}
}

func (s *topic) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *topic) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *topic) Newest(ctx context.Context) ([]Record, Offset, error) {
	return s.read(ctx, 0, true)
}

func (s *topic) Read(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error) {
	end := time.Now().Add(wait)
	for {
		r, next, err := s.read(ctx, from, false)
		if err != nil || len(r) > 0 || !time.Now().Before(end) {
			return r, next, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *topic) read(ctx context.Context, from Offset, full bool) ([]Record, Offset, error) {
	s.mu.Lock()
	s.calls++
	silent, fail := s.silent, s.fail
	out, next, gap := slices.Clone(s.records[min(int(from), len(s.records)):]), Offset(len(s.records)), from < s.first
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return nil, 0, ctx.Err()
	case fail != nil:
		return nil, 0, fail
	case gap && !full:
		return nil, 0, ErrForgotten
	}
	return out, next, nil
}

// withFollower runs a follower of the topic and gives the test what it has emitted.
func withFollower(t *testing.T, recipient func() string, test func(s *topic, f *Follower, got func() string)) {
	synctest.Test(t, func(t *testing.T) {
		s := &topic{}
		var mu sync.Mutex
		text := ""
		cfg := Config{Name: "t", Wait: time.Second, Timeout: 500 * time.Millisecond}
		f := New(cfg, slog.New(slog.DiscardHandler), s, recipient, func(_ context.Context, n News) {
			mu.Lock()
			defer mu.Unlock()
			if n.Whole {
				text += "|"
			}
			for _, r := range n.Records {
				text += r.Key
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Serve(ctx)
		}()
		test(s, f, func() string {
			mu.Lock()
			defer mu.Unlock()
			return text
		})
		cancel()
		<-done
	})
}

func want(t *testing.T, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("emitted %q, want %q", got, want)
	}
}

func TestFollowsFromTheNewest(t *testing.T) {
	withFollower(t, nil, func(s *topic, _ *Follower, got func() string) {
		time.Sleep(100 * time.Millisecond)
		s.append("a", "b")
		time.Sleep(100 * time.Millisecond)
		s.append("c")
		time.Sleep(100 * time.Millisecond)
		want(t, got(), "|abc")
	})
}

// The store has dropped records that were not read yet: only the newest of each key
// tell what is in force.
func TestGap(t *testing.T) {
	withFollower(t, nil, func(s *topic, _ *Follower, got func() string) {
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.fail = errors.New("down") })
		time.Sleep(2 * time.Second)
		s.append("a", "b")
		s.set(func() { s.fail, s.first = nil, 1 })
		time.Sleep(time.Second)
		want(t, got(), "||ab")
	})
}

// The store is down, then back. A read that failed is repeated with a growing pause, so
// that a store that recovers is not overrun, and soon enough for a change to be in
// force within two seconds.
func TestStoreDown(t *testing.T) {
	withFollower(t, nil, func(s *topic, f *Follower, got func() string) {
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.fail, s.calls = errors.New("down"), 0 })
		time.Sleep(10 * time.Second)
		if !f.Down() {
			t.Error("the follower does not know that the store is down")
		}
		if n := s.callCount(); n < 15 || n > 60 {
			t.Errorf("%d calls in 10 s", n)
		}
		s.append("a")
		s.set(func() { s.fail = nil })
		time.Sleep(maxRetryDelay*2 + time.Second)
		want(t, got(), "|a")
		if f.Down() {
			t.Error("the follower does not know that the store is back")
		}
	})
}

// The connection went dead without a reset: the call must end by itself.
func TestSilentStore(t *testing.T) {
	withFollower(t, nil, func(s *topic, _ *Follower, got func() string) {
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.silent = true })
		time.Sleep(3 * time.Second)
		s.append("a")
		s.set(func() { s.silent = false })
		time.Sleep(3 * time.Second)
		want(t, got(), "|a")
	})
}

// Another process is to be told from now on: it knows nothing of before, so everything
// is read again.
func TestTurnChanges(t *testing.T) {
	var mu sync.Mutex
	recipient := ""
	set := func(s string) {
		mu.Lock()
		defer mu.Unlock()
		recipient = s
	}
	withFollower(t, func() string {
		mu.Lock()
		defer mu.Unlock()
		return recipient
	}, func(s *topic, _ *Follower, got func() string) {
		s.append("a")
		time.Sleep(time.Second)
		want(t, got(), "")
		set("first")
		time.Sleep(2 * time.Second)
		want(t, got(), "|a")
		set("second")
		time.Sleep(2 * time.Second)
		want(t, got(), "|a|a")
		set("")
		time.Sleep(2 * time.Second)
		calls := s.callCount()
		time.Sleep(10 * time.Second)
		if s.callCount() != calls {
			t.Error("reads although it is not its turn")
		}
	})
}
