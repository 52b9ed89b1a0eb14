package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease that a minion grants (hold_max_ms).
	maxHold = time.Second
	// stopTime is how long a stop takes, below stop_timeout_ms (50 ms).
	stopTime = 40 * time.Millisecond
	// lateMin and lateMax bound how late an order is carried out.
	lateMin, lateMax = 2 * time.Second, 12 * time.Second
	// drainTime is how long a minion serves after it has reported that it drains (drain_ms).
	drainTime = 2 * time.Second
	// pingInterval is the interval of a minion's entries in the store (heartbeat_ms).
	pingInterval = 1500 * time.Millisecond
)

// judge is told of what happens at the minions.
type judge interface {
	// started is called when a task has been started, with what runs at the minion by then,
	// the new run included. The minion's lock is held.
	started(m *minion, l *life, e *execution)
}

// minion is a stand-in for one minion, which can crash and start again under its id.
type minion struct {
	id, address, zone, rack string
	cpu                     int
	// guards is set if it rejects what does not fit.
	guards bool
	// lateShare is the share of the orders that get no answer and are carried out lateMin to
	// lateMax later, by whichever life of the minion is there then.
	lateShare float64
	store     *store
	rec       *record
	judge     judge

	mu  sync.Mutex
	now *life
	seq int
}

// life is what a minion knows from one start to the next crash.
type life struct {
	*minion
	kind     string
	began    time.Time
	fence    uint64
	leaseEnd time.Time
	runs     map[runKey]*execution
	// highest is the highest number of a run that was stopped or has ended, by task.
	highest map[string]int
	ended   []endedRun
	lastEnd int64
	changed chan struct{}
	over    bool
	// draining is set once the minion is about to leave.
	draining bool
	server   *http.Server
	cancel   context.CancelFunc
}

type runKey struct {
	task   string
	number int
}

// execution is a run of a task. What it takes is in its spec: "ms=300 cpu=27000 need=a".
type execution struct {
	runKey
	ms, cpu  int
	need     string
	stopping bool
	done     bool
	started  time.Time
	// endedAt is when it ended, zero while it runs.
	endedAt time.Time
}

type endedRun struct {
	number int64
	runKey
	how string
}

// callBody is the body of every call; each call uses a part of the fields.
type callBody struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Spec  string `json:"spec"`
	Until int64  `json:"deadline_ms"`
	Fence uint64 `json:"fencing_token"`
	Seen  int64  `json:"last_seen"`
	Wait  int64  `json:"wait_ms"`
}

// boot starts the minion. It registers itself before it takes calls.
func (m *minion) boot(kind string) error {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{minion: m, kind: kind, began: time.Now(), runs: make(map[runKey]*execution), highest: make(map[string]int), changed: make(chan struct{}), cancel: cancel}
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		cancel()
		return err
	}
	m.mu.Lock()
	m.now = l
	m.mu.Unlock()
	m.rec.printf("minion %s starts as kind %s", m.id, kind)
	l.ping()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(pingInterval):
				l.ping()
			}
		}
	}()
	l.server = &http.Server{Handler: l.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = l.server.Serve(ln) }()
	return nil
}

// crash ends the minion's life: nothing runs any more, and its connections break.
func (m *minion) crash() {
	m.mu.Lock()
	l := m.now
	l.over = true
	for _, e := range l.runs {
		e.done, e.endedAt = true, time.Now()
	}
	l.runs = make(map[runKey]*execution)
	m.mu.Unlock()
	l.cancel()
	_ = l.server.Close()
	m.rec.printf("minion %s crashes", m.id)
}

// restart has the minion leave as planned: it reports that it drains, serves for drainTime and a
// little longer, exits, and starts again under its id after a pause.
func (m *minion) restart(pause time.Duration) error {
	m.mu.Lock()
	l := m.now
	l.draining = true
	m.mu.Unlock()
	m.rec.printf("minion %s drains", m.id)
	l.ping()
	time.Sleep(drainTime + 200*time.Millisecond)
	m.crash()
	m.store.put(topicServers, m.id, nil)
	time.Sleep(pause)
	return m.boot(l.kind)
}

// ping writes the minion's entry to the store.
func (l *life) ping() {
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		return
	}
	l.seq++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": l.cpu, "mem_mb": 262144, "gpu": 0},
		"labels": []string{l.kind, l.rack}, "clock_ms": l.clock(), "seq_no": l.seq, "born": l.began.UnixMilli(),
	})
	l.mu.Unlock()
	l.store.put(topicServers, l.id, b)
}

func (l *life) clock() int64 { return time.Since(l.began).Milliseconds() + 1 }

func (l *life) handler() http.Handler {
	mux := http.NewServeMux()
	orders := map[string]func(*life, callBody) (int, map[string]any){"POST /run-start": (*life).start, "POST /run-stop": (*life).stop}
	for path, order := range orders {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			if c, ok := l.decode(w, r); ok {
				if rand.Float64() < l.lateShare {
					l.carryOutLate(path, order, c)
					<-r.Context().Done()
					return
				}
				l.mu.Lock()
				status, out := order(l, c)
				l.mu.Unlock()
				writeJSON(w, status, out)
			}
		})
	}
	mux.HandleFunc("POST /hold", func(w http.ResponseWriter, r *http.Request) {
		if c, ok := l.decode(w, r); ok {
			l.hold(w, r, c)
		}
	})
	return mux
}

// carryOutLate carries an order out later, by the life that is there then.
func (m *minion) carryOutLate(path string, order func(*life, callBody) (int, map[string]any), c callBody) {
	delay := lateMin + rand.N(lateMax-lateMin)
	m.rec.printf("minion %s: %s for %s run %d gets no answer, and is carried out %v later", m.id, path, c.Task, c.Run, delay.Round(time.Millisecond))
	time.AfterFunc(delay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.now.over {
			order(m.now, c)
		}
	})
}

func (l *life) decode(w http.ResponseWriter, r *http.Request) (callBody, bool) {
	var c callBody
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != l.id {
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": l.clock()})
		return c, false
	}
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"clock_ms": l.clock()})
		return c, false
	}
	return c, true
}

func (l *life) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": reason}
}

func (l *life) admits(fence uint64) bool {
	if l.over || fence < l.fence {
		return false
	}
	l.fence = fence
	return true
}

// extend extends the lease of everything that runs here; it never shortens it.
func (l *life) extend(until int64) {
	if until == 0 {
		return
	}
	t := l.began.Add(time.Duration(until) * time.Millisecond)
	if latest := time.Now().Add(maxHold); t.After(latest) {
		t = latest
	}
	if !t.After(l.leaseEnd) {
		return
	}
	l.leaseEnd = t
	time.AfterFunc(time.Until(t), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if time.Now().Before(l.leaseEnd) {
			return
		}
		for _, e := range l.runs {
			l.end(e, "lapsed")
		}
	})
}

// used returns the CPU that runs take; what is being stopped counts.
func (l *life) used() int {
	sum := 0
	for _, e := range l.runs {
		sum += e.cpu
	}
	return sum
}

func (l *life) start(c callBody) (int, map[string]any) {
	k := runKey{c.Task, c.Run}
	e := newExecution(k, c.Spec)
	switch {
	case !l.admits(c.Fence):
		return l.refuse("fence")
	case c.Until < l.clock():
		return l.refuse("late")
	case l.runs[k] != nil:
		l.extend(c.Until)
		return http.StatusOK, map[string]any{"clock_ms": l.clock()}
	case c.Run <= l.highest[c.Task]:
		l.extend(c.Until)
		return l.refuse("old")
	case l.guards && l.used()+e.cpu > l.cpu:
		l.extend(c.Until)
		return l.refuse("room")
	}
	l.extend(c.Until)
	l.runs[k] = e
	l.rec.printf("minion %s starts %s run %d (%s)", l.id, c.Task, c.Run, c.Spec)
	l.judge.started(l.minion, l, e)
	time.AfterFunc(time.Duration(e.ms)*time.Millisecond, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.end(e, "done")
	})
	return http.StatusOK, map[string]any{"clock_ms": l.clock()}
}

func newExecution(k runKey, spec string) *execution {
	e := &execution{runKey: k, started: time.Now()}
	for _, f := range strings.Fields(spec) {
		name, value, _ := strings.Cut(f, "=")
		switch name {
		case "ms":
			e.ms, _ = strconv.Atoi(value)
		case "cpu":
			e.cpu, _ = strconv.Atoi(value)
		case "need":
			e.need = value
		}
	}
	return e
}

// end ends a run. The caller holds mu.
func (l *life) end(e *execution, how string) {
	if e.done {
		return
	}
	e.done, e.endedAt = true, time.Now()
	delete(l.runs, e.runKey)
	l.highest[e.task] = max(l.highest[e.task], e.number)
	l.lastEnd++
	l.ended = append(l.ended, endedRun{l.lastEnd, e.runKey, how})
	close(l.changed)
	l.changed = make(chan struct{})
	l.rec.printf("minion %s ends %s run %d: %s", l.id, e.task, e.number, how)
}

func (l *life) stop(c callBody) (int, map[string]any) {
	if !l.admits(c.Fence) {
		return l.refuse("fence")
	}
	l.highest[c.Task] = max(l.highest[c.Task], c.Run)
	if e := l.runs[runKey{c.Task, c.Run}]; e != nil && !e.stopping {
		e.stopping = true
		l.rec.printf("minion %s is told to stop %s run %d", l.id, c.Task, c.Run)
		time.AfterFunc(stopTime, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.end(e, "stopped")
		})
	}
	return http.StatusOK, map[string]any{"clock_ms": l.clock()}
}

func (l *life) hold(w http.ResponseWriter, r *http.Request, c callBody) {
	l.mu.Lock()
	if !l.admits(c.Fence) {
		status, out := l.refuse("fence")
		l.mu.Unlock()
		writeJSON(w, status, out)
		return
	}
	l.extend(c.Until)
	for len(l.ended) > 0 && l.ended[0].number <= c.Seen {
		l.ended = l.ended[1:]
	}
	changed, wait := l.changed, len(l.ended) == 0
	l.mu.Unlock()
	if wait && c.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(c.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	l.mu.Lock()
	out := l.list()
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// list returns what runs and what has ended. The caller holds mu.
func (l *life) list() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, e := range l.runs {
		percent := min(99, int(time.Since(e.started).Milliseconds())*100/max(e.ms, 1))
		running = append(running, []any{e.task, e.number, "", percent, e.cpu})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.runKey.number, e.how, ""})
	}
	return map[string]any{"clock_ms": l.clock(), "born": l.began.UnixMilli(), "running": running, "ended_runs": ended}
}
