package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// holdMax is hold_max_ms, stopTime less than stop_timeout_ms, heartbeat heartbeat_ms.
	holdMax   = time.Second
	stopTime  = 20 * time.Millisecond
	heartbeat = 1500 * time.Millisecond
)

// resources is an amount of what tasks take and minions have.
type resources struct {
	CPU    int `json:"cpu,omitempty"`
	Memory int `json:"mem_mb,omitempty"`
	GPU    int `json:"gpu,omitempty"`
}

// minion is a stand-in for a minion. It starts what it is told to, under leases and fencing
// tokens, and rejects what does not fit (enforces_capacity). A task's work is in its job's
// spec: the milliseconds that each task takes, then what each needs, after colons.
type minion struct {
	world   *world
	id      string
	address string
	zone    string
	rack    string
	has     resources

	mu       sync.Mutex
	born     time.Time
	fence    uint64
	leaseEnd time.Time
	used     resources
	runs     map[runKey]*running
	stopped  map[string]int
	ends     []endRow
	lastEnd  int64
	changed  chan struct{}
	seqNo    int
}

type runKey struct {
	task string
	run  int
}

type running struct {
	needs   resources
	started time.Time
	takes   time.Duration
	over    bool
}

type endRow struct {
	n   int64
	key runKey
	how string
}

func newMinion(w *world, id, address, zone, rack string, has resources) *minion {
	return &minion{world: w, id: id, address: address, zone: zone, rack: rack, has: has, born: time.Now(), runs: make(map[runKey]*running), stopped: make(map[string]int), changed: make(chan struct{})}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// register writes the minion's entry in the store, about each heartbeat.
func (m *minion) register() {
	for {
		m.mu.Lock()
		m.seqNo++
		b, _ := json.Marshal(map[string]any{
			"service": service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_remaining_ms": 0, "seq_no": m.seqNo, "machine": "m-" + m.id,
			"capacity": m.has, "labels": []string{"a", m.rack}, "born": m.born.UnixMilli(),
		})
		m.mu.Unlock()
		m.world.store.put("keyed.servers", m.id, b)
		time.Sleep(heartbeat)
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	for path, f := range map[string]func(*http.Request, order) (int, map[string]any){
		"POST /run-start": m.start,
		"POST /run-stop":  m.stop,
		"POST /hold":      m.hold,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			switch {
			case r.Header.Get("X-Expect-Instance") != m.id:
				w.WriteHeader(http.StatusMisdirectedRequest)
			case json.NewDecoder(r.Body).Decode(&o) != nil:
				w.WriteHeader(http.StatusBadRequest)
			default:
				status, out := f(r, o)
				writeJSON(w, status, out)
			}
		})
	}
	return mux
}

func (m *minion) refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason, "born": m.born.UnixMilli()}
}

func (m *minion) ok() (int, map[string]any) {
	return http.StatusOK, map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
}

// renew extends the lease of everything that runs here, by hold_max_ms from now at most.
func (m *minion) renew(deadline int64) {
	if deadline == 0 {
		return
	}
	t := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); t.After(latest) {
		t = latest
	}
	if !t.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = t
	time.AfterFunc(time.Until(t), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if time.Now().Before(m.leaseEnd) {
			return
		}
		for k, r := range m.runs {
			m.end(k, r, "lapsed")
		}
	})
}

func (m *minion) start(r *http.Request, o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := runKey{o.Task, o.Run}
	takes, needs := decodeSpec(o.Spec)
	switch {
	case o.Fence < m.fence:
		return m.refuse("fence")
	case o.Deadline < m.clock():
		return m.refuse("late")
	case m.runs[k] != nil:
		m.fence = o.Fence
		m.renew(o.Deadline)
		return m.ok()
	}
	m.fence = o.Fence
	switch {
	case o.Run <= m.stopped[o.Task]:
		m.renew(o.Deadline)
		return m.refuse("old")
	case m.used.CPU+needs.CPU > m.has.CPU || m.used.Memory+needs.Memory > m.has.Memory || m.used.GPU+needs.GPU > m.has.GPU:
		m.renew(o.Deadline)
		return m.refuse("room")
	}
	m.renew(o.Deadline)
	x := &running{needs: needs, started: time.Now(), takes: takes}
	m.runs[k] = x
	m.used = resources{m.used.CPU + needs.CPU, m.used.Memory + needs.Memory, m.used.GPU + needs.GPU}
	from, _, _ := strings.Cut(r.RemoteAddr, ":")
	m.world.ran(m.id, from, o)
	time.AfterFunc(takes, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(k, x, "done")
	})
	return m.ok()
}

func (m *minion) end(k runKey, x *running, how string) {
	if x.over {
		return
	}
	x.over = true
	delete(m.runs, k)
	m.used = resources{m.used.CPU - x.needs.CPU, m.used.Memory - x.needs.Memory, m.used.GPU - x.needs.GPU}
	m.stopped[k.task] = max(m.stopped[k.task], k.run)
	m.lastEnd++
	m.ends = append(m.ends, endRow{m.lastEnd, k, how})
	m.world.ended(m.id, k, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) stop(_ *http.Request, o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Fence < m.fence {
		return m.refuse("fence")
	}
	m.fence = o.Fence
	m.stopped[o.Task] = max(m.stopped[o.Task], o.Run)
	k := runKey{o.Task, o.Run}
	if x := m.runs[k]; x != nil {
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(k, x, "stopped")
		})
	}
	return m.ok()
}

func (m *minion) hold(r *http.Request, o order) (int, map[string]any) {
	m.mu.Lock()
	if o.Fence < m.fence {
		defer m.mu.Unlock()
		return m.refuse("fence")
	}
	m.fence = o.Fence
	m.renew(o.Deadline)
	for len(m.ends) > 0 && m.ends[0].n <= o.Seen {
		m.ends = m.ends[1:]
	}
	changed, wait := m.changed, len(m.ends) == 0 && o.Wait > 0
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	runs, ends := [][]any{}, [][]any{}
	for k, x := range m.runs {
		percent := min(99, int(100*time.Since(x.started)/max(x.takes, 1)))
		runs = append(runs, []any{k.task, k.run, "", percent, x.needs.CPU})
	}
	for i, e := range m.ends {
		if i == 500 {
			break
		}
		ends = append(ends, []any{e.n, e.key.task, e.key.run, e.how, ""})
	}
	status, out := m.ok()
	out["running"], out["ended_runs"] = runs, ends
	return status, out
}

// encodeSpec and decodeSpec say in a job's spec what its tasks take.
func encodeSpec(ms int, needs resources) string {
	return fmt.Sprintf("%d:%d:%d:%d", ms, needs.CPU, needs.Memory, needs.GPU)
}

func decodeSpec(spec string) (takes time.Duration, needs resources) {
	var n [4]int
	for i, s := range strings.SplitN(spec, ":", 4) {
		n[i], _ = strconv.Atoi(s)
	}
	return time.Duration(n[0]) * time.Millisecond, resources{n[1], n[2], n[3]}
}
