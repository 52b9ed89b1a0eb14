package registry

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/internal/bubble"
)

// topic is an in-memory topic. Reads return fail if it is set, and hang while silent is
// set. Records below the offset first count as dropped by the store.
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
		return nil, 0, ErrGap
	}
	return out, next, nil
}

// withFollower runs test with a follower of an in-memory topic. got returns the emitted
// keys, with "|" before each full update.
func withFollower(t *testing.T, recipient func() string, test func(s *topic, f *Follower, got func() string)) {
	bubble.Test(t, func(t *testing.T) {
		s := &topic{}
		var mu sync.Mutex
		text := ""
		cfg := Config{Name: "t", Wait: time.Second, Timeout: 500 * time.Millisecond}
		f := New(cfg, slog.New(slog.DiscardHandler), s, recipient, func(_ context.Context, u Update) {
			mu.Lock()
			defer mu.Unlock()
			if u.Full {
				text += "|"
			}
			for _, r := range u.Records {
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

// A follower reads the latest records once and then only the records added since.
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

// The store drops records that were not read yet. The follower must read the latest
// record of each key again, or it would miss changes.
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

// The store is down and then recovers. Failed reads must be retried with an increasing
// delay, so that the recovering store is not overloaded, and soon enough for a change to
// be in force within two seconds.
func TestStoreDown(t *testing.T) {
	withFollower(t, nil, func(s *topic, f *Follower, got func() string) {
		time.Sleep(100 * time.Millisecond)
		s.set(func() { s.fail, s.calls = errors.New("down"), 0 })
		time.Sleep(10 * time.Second)
		if !f.Down() {
			t.Error("Down() = false while the store is down")
		}
		if n := s.callCount(); n < 15 || n > 60 {
			t.Errorf("%d calls in 10 s, want 15 to 60", n)
		}
		s.append("a")
		s.set(func() { s.fail = nil })
		time.Sleep(maxRetryDelay*2 + time.Second)
		want(t, got(), "|a")
		if f.Down() {
			t.Error("Down() = true after the store has recovered")
		}
	})
}

// The connection goes dead without a reset. The call must end by its timeout.
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

// The recipient changes. The new one has none of the earlier updates, so everything
// must be read again; without a recipient nothing is read.
func TestRecipientChanges(t *testing.T) {
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
			t.Error("the follower reads without a recipient")
		}
	})
}

// The store was down while records were added. The update must say that they may have been
// added since the first failed read: with the start of the read that returned them, the logs
// would say that a change was learned at once which is seconds old.
func TestUpdateSaysSinceWhenItsRecordsMayHaveBeenThere(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		s := &topic{}
		var last Update
		f := New(Config{Name: "t", Wait: time.Second, Timeout: 500 * time.Millisecond}, slog.New(slog.DiscardHandler), s, nil, func(_ context.Context, u Update) {
			if len(u.Records) > 0 {
				last = u
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Serve(ctx)
		}()
		time.Sleep(100 * time.Millisecond)
		failsFrom := time.Now()
		s.set(func() { s.fail = errors.New("down") })
		time.Sleep(3 * time.Second)
		s.append("a")
		s.set(func() { s.fail = nil })
		time.Sleep(2 * time.Second)
		cancel()
		<-done
		if last.Since.IsZero() || last.Since.After(failsFrom.Add(time.Second)) || !last.Since.Before(last.At) {
			t.Errorf("records may have been there since %v, read at %v; reads fail from %v on", last.Since, last.At, failsFrom)
		}
	})
}

// trickle is a topic whose response arrives in pieces and, if stalls is set, never ends.
type trickle struct {
	pieces int
	pause  time.Duration
	stalls bool
}

func (s trickle) Newest(ctx context.Context) ([]Record, Offset, error) {
	for range s.pieces {
		select {
		case <-time.After(s.pause):
			Arrived(ctx)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
	if s.stalls {
		<-ctx.Done()
	}
	return []Record{{Key: "a"}}, 1, ctx.Err()
}

func (s trickle) Read(ctx context.Context, _ Offset, _ time.Duration) ([]Record, Offset, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// A call on which data arrives goes on beyond the timeout. One that stalls, and one that
// never ends, must fail: the connection may be dead, or the server broken.
func TestTimeoutCountsFromTheLastData(t *testing.T) {
	tests := []struct {
		name   string
		source trickle
		ok     bool
		after  time.Duration
	}{
		{"slow", trickle{pieces: 20, pause: 300 * time.Millisecond}, true, 6 * time.Second},
		{"silent", trickle{stalls: true}, false, 500 * time.Millisecond},
		{"stalls", trickle{pieces: 10, pause: 300 * time.Millisecond, stalls: true}, false, 3500 * time.Millisecond},
		{"never ends", trickle{pieces: 1000, pause: 300 * time.Millisecond}, false, maxCallDuration},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				f := New(Config{Name: "t", Timeout: 500 * time.Millisecond}, slog.New(slog.DiscardHandler), tt.source, nil, nil)
				began := time.Now()
				_, err := f.readOnce(t.Context(), 0, true, 0)
				if took := time.Since(began); (err == nil) != tt.ok || took != tt.after {
					t.Errorf("error %v after %v, want success %v after %v", err, took, tt.ok, tt.after)
				}
			})
		})
	}
}

// Guards against a key that messages between processes can't carry: each process that is sent it
// would end the session, again and again. It also guards against an empty key.
func TestKeysThatAreNotTextAreSkipped(t *testing.T) {
	withFollower(t, nil, func(s *topic, _ *Follower, got func() string) {
		s.append("a", "\xff\xfe", "b\xc3", "", "\uFFFD", "ö")
		time.Sleep(100 * time.Millisecond)
		s.append("\xed\xa0\x80", "c")
		time.Sleep(100 * time.Millisecond)
		want(t, got(), "|aöc")
	})
}
