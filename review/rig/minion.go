package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLease is hold_max_ms, stopTime how long a stop takes: at most stop_timeout_ms, which
	// is 50 ms.
	maxLease = time.Second
	stopTime = 45 * time.Millisecond
	// drainBound is drain_ms, cancelBound cancel_ms.
	drainBound  = 2 * time.Second
	cancelBound = 3 * time.Second
	// evacuateBound is evacuate_ms.
	evacuateBound = 5 * time.Second
)

// minion is a stand-in for a server that runs tasks under leases. It follows PROTOCOL.md.
type minion struct {
	w                             *world
	id, zone, service, kind, rack string
	address                       string
	cpu, memory                   int
	guards                        bool
	mu                            sync.Mutex
	life                          *life
	seq                           int
	// cut is set while no call reaches the minion.
	cut       atomic.Bool
	drainedAt time.Time
}

// life is what a minion has and knows between a start and its end.
type life struct {
	born     time.Time
	server   *http.Server
	fence    uint64
	leaseEnd time.Time
	runs     map[runKey]*execution
	// highest is the highest run of each task that was stopped or has ended.
	highest map[string]int
	ended   []endedRun
	lastEnd int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
	over    bool
}

type runKey struct {
	task string
	run  int
}

type execution struct {
	job      *job
	step     int
	begun    time.Time
	takes    time.Duration
	stopping bool
}

type endedRun struct {
	n   int64
	key runKey
	how string
}

// start begins a life at the minion's address.
func (m *minion) start() error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	l := &life{born: time.Now(), runs: make(map[runKey]*execution), highest: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r, m.runStart) })
	mux.HandleFunc("POST /run-stop", func(w http.ResponseWriter, r *http.Request) { m.serve(l, w, r, m.runStop) })
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) { m.serveHold(l, w, r) })
	l.server = &http.Server{Handler: mux}
	m.mu.Lock()
	m.life = l
	m.drainedAt = time.Time{}
	m.mu.Unlock()
	go func() { _ = l.server.Serve(ln) }()
	m.beat()
	m.w.rec.log("minion %s up kind=%s", m.id, m.kind)
	return nil
}

// crash ends the life: nothing runs any more.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.life
	m.life = nil
	if l != nil {
		l.over = true
		for k := range l.runs {
			m.w.monitor.ended(m, k)
		}
	}
	m.mu.Unlock()
	if l != nil {
		_ = l.server.Close()
		m.w.rec.log("minion %s down", m.id)
	}
}

// beat writes the minion's record to the store.
func (m *minion) beat() {
	m.mu.Lock()
	l := m.life
	if l == nil {
		m.mu.Unlock()
		return
	}
	m.seq++
	state := "ready"
	if !m.drainedAt.IsZero() {
		state = "draining"
	}
	b, err := json.Marshal(map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": m.cpu, "mem_mb": m.memory, "gpu": 0},
		"labels": []string{m.kind, m.rack}, "clock_ms": l.clock(), "seq_no": m.seq, "born": l.born.UnixMilli(),
	})
	m.mu.Unlock()
	if err == nil {
		m.w.store.put("keyed.servers", m.id, b)
	}
}

// drain reports the minion as draining. The store has accepted that when drain returns.
func (m *minion) drain() {
	m.mu.Lock()
	m.drainedAt = time.Now()
	m.mu.Unlock()
	m.beat()
	m.w.rec.log("minion %s drains", m.id)
}

// clockRate is how fast the minions' clocks run: they may be 2% slow.
const clockRate = 0.98

func (l *life) clock() int64 { return int64(float64(time.Since(l.born).Milliseconds())*clockRate) + 1 }

type call struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"deadline_ms"`
	Fence uint64 `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

func (m *minion) decode(w http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	}
	return c, true
}

func (m *minion) serve(l *life, w http.ResponseWriter, r *http.Request, do func(*life, call) (status int, reason string)) {
	c, ok := m.decode(w, r)
	if !ok {
		return
	}
	if m.cut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if m.w.isLate() {
		m.doLate(l, c, do)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if l.over {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, reason := do(l, c)
	out := map[string]any{"clock_ms": l.clock()}
	m.mu.Unlock()
	if reason != "" {
		out["reason"] = reason
	}
	writeJSON(w, status, out)
}

// doLate carries a call out 2 to 12 seconds later, without an answer.
func (m *minion) doLate(l *life, c call, do func(*life, call) (status int, reason string)) {
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !l.over {
			do(l, c)
		}
	})
}

// admit reports whether a fencing token is current, and keeps it if so.
func (l *life) admit(fence uint64) bool {
	if fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}

// extend extends the lease of everything to a time on the minion's clock, by maxLease at most.
func (m *minion) extend(l *life, until int64) {
	if until == 0 {
		return
	}
	t := l.born.Add(time.Duration(float64(until) / clockRate * float64(time.Millisecond)))
	if latest := time.Now().Add(time.Duration(maxLease.Seconds() / clockRate * float64(time.Second))); t.After(latest) {
		t = latest
	}
	if !t.After(l.leaseEnd) {
		return
	}
	l.leaseEnd = t
	time.AfterFunc(time.Until(t), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if l.over || time.Now().Before(l.leaseEnd) {
			return
		}
		for k := range l.runs {
			m.finish(l, k, "lapsed")
		}
	})
}

func (m *minion) runStart(l *life, c call) (status int, reason string) {
	k := runKey{c.Task, c.Run}
	j, s := m.w.jobs.find(c.Task)
	switch {
	case !l.admit(c.Fence):
		reason = "fence"
	case c.Until < l.clock():
		reason = "late"
	case l.runs[k] != nil:
		m.extend(l, c.Until)
		return http.StatusOK, ""
	case c.Run <= l.highest[c.Task]:
		m.extend(l, c.Until)
		reason = "old"
	case j == nil:
		m.w.rec.breaks("UNASKED", "minion %s was told to start %s, which no client has sent", m.id, c.Task)
		return http.StatusBadRequest, ""
	case m.guards && l.used()+j.steps[s].CPU > m.cpu:
		m.extend(l, c.Until)
		reason = "room"
	}
	if reason != "" {
		m.w.rec.log("minion %s refuses %s run %d: %s", m.id, c.Task, c.Run, reason)
		return http.StatusConflict, reason
	}
	m.extend(l, c.Until)
	e := &execution{job: j, step: s, begun: time.Now(), takes: m.w.duration(c.Task, j, s)}
	l.runs[k] = e
	m.w.rec.log("minion %s starts %s run %d cpu=%d used=%d/%d fence=%d", m.id, c.Task, c.Run, j.steps[s].CPU, l.used(), m.cpu, c.Fence)
	m.w.monitor.started(m, l, k, e, c.Spec)
	time.AfterFunc(e.takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if l.runs[k] == e && !e.stopping && !l.over {
			m.finish(l, k, "done")
		}
	})
	return http.StatusOK, ""
}

// used returns the CPU of everything that runs, what is being stopped included.
func (l *life) used() int {
	n := 0
	for _, e := range l.runs {
		n += e.job.steps[e.step].CPU
	}
	return n
}

func (m *minion) runStop(l *life, c call) (status int, reason string) {
	if !l.admit(c.Fence) {
		return http.StatusConflict, "fence"
	}
	k := runKey{c.Task, c.Run}
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	e := l.runs[k]
	m.w.rec.log("minion %s stops %s run %d, there: %v", m.id, c.Task, c.Run, e != nil)
	if e != nil && !e.stopping {
		e.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if l.runs[k] == e && !l.over {
				m.finish(l, k, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// finish ends a run. The caller holds mu.
func (m *minion) finish(l *life, k runKey, how string) {
	e := l.runs[k]
	delete(l.runs, k)
	l.highest[k.task] = max(l.highest[k.task], k.run)
	l.lastEnd++
	l.ended = append(l.ended, endedRun{l.lastEnd, k, how})
	close(l.changed)
	l.changed = make(chan struct{})
	if how == "done" {
		e.job.mu.Lock()
		e.job.done[k.task] = true
		e.job.mu.Unlock()
	}
	m.w.monitor.ended(m, k)
	m.w.rec.log("minion %s ended %s run %d: %s", m.id, k.task, k.run, how)
}

// maxListedEnds is how many ends one response lists.
const maxListedEnds = 500

func (m *minion) serveHold(l *life, w http.ResponseWriter, r *http.Request) {
	c, ok := m.decode(w, r)
	if !ok {
		return
	}
	if m.cut.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if l.over {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if !l.admit(c.Fence) {
		out := map[string]any{"clock_ms": l.clock(), "reason": "fence"}
		m.mu.Unlock()
		writeJSON(w, http.StatusConflict, out)
		return
	}
	m.extend(l, c.Until)
	l.ended = slices.DeleteFunc(l.ended, func(e endedRun) bool { return e.n <= c.Seen })
	changed, wait := l.changed, len(l.ended) == 0 && c.Wait > 0
	m.mu.Unlock()
	if wait {
		t := time.NewTimer(time.Duration(min(c.Wait, 2000)) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	if l.over {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for k, e := range l.runs {
		percent := min(99, int(100*time.Since(e.begun)/max(e.takes, 1)))
		running = append(running, []any{k.task, k.run, "", percent, e.job.steps[e.step].CPU})
	}
	for _, e := range l.ended[:min(len(l.ended), maxListedEnds)] {
		ended = append(ended, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	out := map[string]any{"clock_ms": l.clock(), "born": l.born.UnixMilli(), "running": running, "ended_runs": ended}
	m.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (m *minion) String() string { return fmt.Sprintf("%s (%s, %s)", m.id, m.zone, m.kind) }
