package claim_test

import (
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"snipehub.example/claim"
	"snipehub.example/ledger"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// TestMain fixes the seed, so that results are reproducible. A long run with random
// seeds: go test ./claim -rapid.seed=0 -rapid.checks=20000
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	_ = flag.Set("rapid.steps", "60")
	flag.Parse()
	os.Exit(m.Run())
}

const skew = 10 * time.Second

var (
	start = time.UnixMilli(1.7e12)
	cfg   = claim.Config{Claims: 100, Pending: 100, Skew: skew, LogTimeout: 2 * time.Second, MarkerInterval: time.Minute}
)

// key returns a UUIDv7 with the given time stamp; n makes it unique.
func key(made time.Time, n byte) uuid.UUID {
	var k uuid.UUID
	binary.BigEndian.PutUint64(k[:8], uint64(made.UnixMilli())<<16)
	k[6], k[8], k[15] = 0x70, 0x80, n
	return k
}

// fakeLog simulates the platform's log with a manual clock.
type fakeLog struct {
	now time.Time
	// clockOffset is the offset of the log's own clock from now.
	clockOffset time.Duration
	first       ledger.Offset
	records     []ledger.Record
}

func (l *fakeLog) append(b []byte) {
	l.records = append(l.records, ledger.Record{Offset: l.first + ledger.Offset(len(l.records)), At: l.now.Add(l.clockOffset), Data: b})
}

func (l *fakeLog) forget(n int) {
	n = min(n, len(l.records))
	l.first += ledger.Offset(n)
	l.records = l.records[n:]
}

func (l *fakeLog) read(from ledger.Offset, n int) ledger.Page {
	from = max(from, l.first)
	end := l.first + ledger.Offset(len(l.records))
	p := ledger.Page{First: l.first, Next: min(from, end)}
	if from < end {
		p.Records = slices.Clone(l.records[from-l.first:])
		p.Records = p.Records[:min(n, len(p.Records))]
		p.Next += ledger.Offset(len(p.Records))
	}
	return p
}

// process is the Core of one dispatcher. It reserves sequence numbers in order.
type process struct {
	*claim.Core
	name string
	next uint64
}

func newProcess(name string, c claim.Config) *process {
	p := &process{name: name}
	p.Core = claim.NewCore(c, func(string) (ticket.JobID, error) {
		p.next++
		return ticket.ID{Owner: ticket.Owner{DataCenter: "dc1", VM: name, Process: "hub", Incarnation: 1}, Number: 1}.Job(p.next), nil
	})
	return p
}

func (p *process) flush(l *fakeLog) {
	if _, record := p.Batch(l.now); record != nil {
		l.append(record)
	}
}

func (p *process) read(l *fakeLog) { p.Read(l.now, l.read(p.Offset(), 1000)) }

func codeOf(err error) refusal.Code {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// Two dispatchers get the same key at once and both claim it. Both must resolve it to
// the identity of the first claim on the log: if each took its own, the caller's job
// would run twice.
func TestFirstOnTheLogWins(t *testing.T) {
	l := &fakeLog{now: start}
	a, b := newProcess("a", cfg), newProcess("b", cfg)
	a.read(l)
	b.read(l)
	k := key(start, 1).String()
	_, pendingA, _ := a.Request(start, "lake", k)
	_, pendingB, _ := b.Request(start, "lake", k)
	_, other, _ := b.Request(start, "teranga", k)
	b.flush(l)
	a.flush(l)
	a.read(l)
	b.read(l)
	for _, w := range []*claim.Pending{pendingA, pendingB, other} {
		select {
		case <-w.Done:
		default:
			t.Fatal("a key is not decided")
		}
	}
	if pendingA.ID != pendingB.ID || pendingA.ID.VM != "b" {
		t.Errorf("a resolved the key to %v, b to %v", pendingA.ID, pendingB.ID)
	}
	if other.ID == pendingB.ID {
		t.Error("keys of two callers got one identity")
	}
	id, _, err := a.Request(start, "lake", k)
	if id != pendingA.ID || err != nil {
		t.Errorf("key resolves to %v, %v after it was decided", id, err)
	}
}

// A caller that gets "not run" retries with a new key, so only a key that no process
// ever accepts may be refused with that.
func TestRefusedKeys(t *testing.T) {
	for _, c := range []struct {
		name    string
		key     string
		prepare func(p *process, l *fakeLog)
		code    refusal.Code
	}{
		{"no UUID", "order-17", nil, refusal.BadKey},
		{"UUIDv4", "f47ac10b-58cc-4372-a567-0e02b2c3d479", nil, refusal.BadKey},
		{"braces", "{" + key(start, 1).String() + "}", nil, refusal.BadKey},
		{"log down", key(start, 1).String(), func(p *process, _ *fakeLog) { p.ReadFailed() }, refusal.LogDown},
		{"nothing read yet", key(start, 1).String(), func(p *process, _ *fakeLog) { p.Core = newProcess("b", cfg).Core }, refusal.LogDown},
		{"from the future", key(start.Add(skew+time.Second), 1).String(), nil, refusal.KeyEarly},
		{"old, nothing forgotten", key(start.Add(-time.Hour), 1).String(), nil, ""},
		{"older than the log", key(start, 1).String(), func(p *process, l *fakeLog) {
			p.Core = newProcess("b", cfg).Core
			l.append(nil)
			l.append(nil)
			l.forget(1)
			p.read(l)
		}, refusal.Forgotten},
		{"too many pending keys", key(start, 1).String(), func(p *process, _ *fakeLog) {
			for i := range cfg.Pending {
				_, _, _ = p.Request(start, "lake", key(start, byte(2+i)).String())
			}
		}, refusal.KeysBusy},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &fakeLog{now: start}
			p := newProcess("a", cfg)
			p.read(l)
			if c.prepare != nil {
				c.prepare(p, l)
			}
			_, _, err := p.Request(start, "lake", c.key)
			if codeOf(err) != c.code {
				t.Errorf("%v, want %s", err, c.code)
			}
		})
	}
}

// The log fails while a dispatcher starts. All dispatchers then refuse new keys, but
// tickets need no log: if readiness waited for the log, no caller would be served after a
// restart of all dispatchers. A dispatcher that is ready before its first read refuses
// keys that another one would accept.
func TestReady(t *testing.T) {
	fails := func(p *process, _ *fakeLog) { p.ReadFailed() }
	for _, c := range []struct {
		name   string
		happen func(p *process, l *fakeLog)
		age    time.Duration
		want   bool
	}{
		{"nothing read yet", nil, 0, false},
		{"the first read is late, and has not failed", nil, time.Hour, false},
		{"the stream was read", (*process).read, 0, true},
		{"the log fails", fails, cfg.LogTimeout - 1, false},
		{"the log fails for long", fails, cfg.LogTimeout, true},
		{"the log fails, then it is read", func(p *process, l *fakeLog) { p.ReadFailed(); p.read(l) }, 0, true},
		{"the stream was read, then the log fails", func(p *process, l *fakeLog) { p.read(l); p.ReadFailed() }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProcess("a", cfg)
			if c.happen != nil {
				c.happen(p, &fakeLog{now: start})
			}
			if got := p.Ready(c.age); got != c.want {
				t.Errorf("%t, want %t", got, c.want)
			}
		})
	}
}

// A claim times out although its append took effect. The caller that retries with its
// key must get the identity that was reserved first, not a second one.
func TestClaimAppearsLate(t *testing.T) {
	l := &fakeLog{now: start}
	p := newProcess("a", cfg)
	p.read(l)
	k := key(start, 1).String()
	_, w, _ := p.Request(start, "lake", k)
	batch, record := p.Batch(start)
	p.AppendFailed(batch)
	l.now = l.now.Add(cfg.LogTimeout + time.Second)
	p.flush(l)
	if <-w.Done; codeOf(w.Err) != refusal.LogDown {
		t.Errorf("timed-out claim ended with %v", w.Err)
	}
	l.append(record)
	p.read(l)
	if id, _, err := p.Request(l.now, "lake", k); err != nil || id.Seq != 1 {
		t.Errorf("retried key resolves to %v, %v, want sequence 1", id, err)
	}
}

// All dispatchers were down for longer than the log's retention. One that starts must
// append a marker and accept new keys soon, without a claim by another dispatcher.
func TestMarks(t *testing.T) {
	l := &fakeLog{now: start, first: 7}
	p := newProcess("a", cfg)
	p.read(l)
	p.flush(l)
	p.flush(l)
	p.read(l)
	l.now = l.now.Add(3 * skew)
	if _, w, err := p.Request(l.now, "lake", key(l.now, 1).String()); w == nil || err != nil || len(l.records) != 1 {
		t.Errorf("%v, %d records", err, len(l.records))
	}
}

// All dispatchers were down for longer than the log's retention, and the marker of one that
// starts is lost. Unless the marker is soon appended again, every new key is refused as
// forgotten for a marker interval, a minute or two, although the log works again.
func TestLostMark(t *testing.T) {
	l := &fakeLog{now: start, first: 7}
	p := newProcess("a", cfg)
	p.read(l)
	batch, record := p.Batch(l.now)
	if record == nil {
		t.Fatal("no marker is due")
	}
	p.AppendFailed(batch)
	l.now = l.now.Add(cfg.LogTimeout)
	p.flush(l)
	p.flush(l)
	if len(l.records) != 1 {
		t.Errorf("%d records after %v, want one", len(l.records), cfg.LogTimeout)
	}
}

// The log's clock is fast when a key with a time stamp in the future is claimed, and is
// then set back; the log drops the claim. A process that starts reads only a later record
// with an earlier time, and must not conclude that the key is unclaimed.
func TestLogClockSetBack(t *testing.T) {
	l := &fakeLog{now: start, clockOffset: skew - time.Second}
	k := key(start.Add(2*skew-time.Second), 1).String()
	a, b := newProcess("a", cfg), newProcess("b", cfg)
	a.read(l)
	now := start.Add(skew)
	_, w, err := a.Request(now, "lake", k)
	if err != nil {
		t.Fatal(err)
	}
	a.flush(l)
	a.read(l)
	if <-w.Done; w.Err != nil {
		t.Fatal(w.Err)
	}
	l.clockOffset = 0
	l.append(nil)
	l.forget(1)
	b.read(l)
	if _, _, err := b.Request(now, "lake", k); codeOf(err) != refusal.Forgotten {
		t.Errorf("key ended with %v, want forgotten", err)
	}
}

// Several processes claim the same keys while the log loses answers and drops old records,
// appends are repeated, readers are paused and restarted, claims are evicted and clocks are
// skewed. All processes that decide about a key must name the same identity: with two
// identities the job would start twice.
func TestOneIdentityForEachKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cfg
		c.Claims = rapid.IntRange(1, 4).Draw(t, "claims")
		l := &fakeLog{now: start}
		processes := make([]*process, 2)
		for i := range processes {
			processes[i] = newProcess(fmt.Sprint("p", i), c)
		}
		var keys []uuid.UUID
		decided := make(map[uuid.UUID]ticket.JobID)
		pending := make(map[*claim.Pending]uuid.UUID)
		restarts := 0
		checkIdentity := func(t *rapid.T, k uuid.UUID, id ticket.JobID) {
			if had, ok := decided[k]; ok && had != id {
				t.Fatalf("key %s is %v, and %v", k, had, id)
			}
			decided[k] = id
		}
		processIndex := rapid.IntRange(0, len(processes)-1)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for w, k := range pending {
					select {
					case <-w.Done:
						delete(pending, w)
						if w.Err == nil {
							checkIdentity(t, k, w.ID)
						}
					default:
					}
				}
			},
			"want": func(t *rapid.T) {
				off := time.Duration(rapid.IntRange(-40, 40).Draw(t, "clock off")) * time.Second
				if len(keys) == 0 || rapid.IntRange(0, 4).Draw(t, "new") == 0 {
					keys = append(keys, key(l.now.Add(off), byte(len(keys))))
				}
				k := rapid.SampledFrom(keys).Draw(t, "key")
				p := processes[processIndex.Draw(t, "process")]
				processNow := l.now.Add(time.Duration(rapid.IntRange(-40, 40).Draw(t, "process clock off")) * time.Second)
				id, w, err := p.Request(processNow, "lake", k.String())
				switch {
				case w != nil:
					pending[w] = k
				case err == nil:
					checkIdentity(t, k, id)
				}
			},
			"append": func(t *rapid.T) {
				p := processes[processIndex.Draw(t, "process")]
				fate := rapid.SampledFrom([]string{"kept", "kept", "answer lost", "lost"}).Draw(t, "fate")
				batch, record := p.Batch(l.now)
				if record != nil && fate != "lost" {
					l.append(record)
				}
				if fate != "kept" {
					p.AppendFailed(batch)
				}
				if rapid.Bool().Draw(t, "read back") {
					p.read(l)
				}
			},
			"read": func(t *rapid.T) {
				p := processes[processIndex.Draw(t, "process")]
				p.Read(l.now, l.read(p.Offset(), rapid.IntRange(0, 3).Draw(t, "records")))
			},
			"restart": func(t *rapid.T) {
				restarts++
				processes[processIndex.Draw(t, "process")] = newProcess(fmt.Sprint("r", restarts), c)
			},
			"pass time": func(t *rapid.T) {
				l.now = l.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
				l.clockOffset = time.Duration(rapid.IntRange(-5, 5).Draw(t, "log clock off")) * time.Second
				if rapid.Bool().Draw(t, "forget") {
					l.forget(rapid.IntRange(1, 4).Draw(t, "records"))
				}
			},
		})
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"claims":[{"caller":"a","key":"018bcfe5-6800-7000-8000-000000000001","id":"dc1.vm0.hub.1.2.3"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		claims := claim.Decode(b)
		again, err := claim.Encode(claims)
		if err != nil || !slices.Equal(claim.Decode(again), claims) {
			t.Fatalf("%v reads back differently: %v", claims, err)
		}
	})
}
