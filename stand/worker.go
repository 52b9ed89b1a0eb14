package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"snipehub.example/delivery"
)

// WorkerFaults are the faults of a backend server that can be set.
type WorkerFaults struct {
	// Fail answers every task with 500 at once, after counting the start.
	Fail bool `json:"fail"`
	// Freeze holds every task request until the fault is cleared. A request that was read
	// by then still runs, even if its sender has given up.
	Freeze bool `json:"freeze"`
	// Reset cuts the connection in the middle of the answer.
	Reset bool `json:"reset"`
	// Short announces a longer body than it sends.
	Short bool `json:"short"`
	// Refuse answers every task with 429, as when no core is free: the task was not run.
	Refuse bool `json:"refuse"`
	// Slow multiplies the service time; 0 counts as 1.
	Slow float64 `json:"slow"`
	// Vanish closes the listener and every connection; new connections are refused. It is
	// cleared over the control address.
	Vanish bool `json:"vanish"`
}

// ServiceTimes is a distribution of service times: uniform between Min and Max, and Long for
// the share LongShare of the tasks.
type ServiceTimes struct {
	Min, Max, Long time.Duration
	LongShare      float64
}

// Draw returns a random service time.
func (s ServiceTimes) Draw(rnd *rand.Rand) time.Duration {
	if rnd.Float64() < s.LongShare {
		return s.Long
	}
	d := s.Min
	if s.Max > s.Min {
		d += time.Duration(rnd.Int64N(int64(s.Max - s.Min)))
	}
	return d
}

// Mean returns the mean of the distribution.
func (s ServiceTimes) Mean() time.Duration {
	short := float64(s.Min+max(s.Max, s.Min)) / 2
	return time.Duration(short*(1-s.LongShare) + float64(s.Long)*s.LongShare)
}

// Payload is the part of a task's body that the simulated server reads: the service time
// at speed 1, so that the sender of the task knows it. Without it the server draws the
// time from its ServiceTimes.
type Payload struct {
	ServiceMS float64 `json:"service_ms"`
}

// Worker simulates a backend server.
type Worker struct {
	addr   netip.AddrPort
	cores  int
	speed  float64
	spread ServiceTimes
	mux    *http.ServeMux

	mu       sync.Mutex
	faults   WorkerFaults
	unfrozen chan struct{}
	record   *record
	rnd      *rand.Rand
	// onVanish is called with mu held when the Vanish fault changes.
	onVanish func(vanished bool)
}

// NewWorker returns a backend server with the given cores; a speed of 2 halves the
// service times.
func NewWorker(addr netip.AddrPort, cores int, speed float64, spread ServiceTimes, seed uint64) *Worker {
	k := &Worker{
		addr:     addr,
		cores:    cores,
		speed:    speed,
		spread:   spread,
		mux:      http.NewServeMux(),
		unfrozen: make(chan struct{}),
		record:   newRecord(addr),
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		onVanish: func(bool) {},
	}
	k.mux.HandleFunc("POST /v1/tasks/{kind}", k.runTask)
	k.mux.HandleFunc("GET /stand/starts", func(w http.ResponseWriter, r *http.Request) { serveStarts(w, r, []*Worker{k}) })
	k.mux.HandleFunc("PUT /stand/faults", func(w http.ResponseWriter, r *http.Request) { putFaults(w, r, []*Worker{k}) })
	return k
}

// ServeHTTP runs tasks and serves the control calls.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) { k.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults in force.
func (k *Worker) SetFaults(f WorkerFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.Freeze && !f.Freeze {
		close(k.unfrozen)
		k.unfrozen = make(chan struct{})
	}
	if f.Vanish != k.faults.Vanish {
		k.onVanish(f.Vanish)
	}
	k.faults = f
}

func (k *Worker) runTask(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		return
	}
	f := k.receive()
	task := r.Header.Get(delivery.HeaderTask)
	d, ok := k.startTask(f, task, r.PathValue("kind"), body)
	if !ok {
		w.Header().Set(delivery.HeaderRan, "no")
		http.Error(w, "no core is free", http.StatusTooManyRequests)
		return
	}
	time.Sleep(d)
	k.mu.Lock()
	k.record.addRunning(-1)
	k.mu.Unlock()
	k.writeAnswer(w, task, f, body)
}

// receive counts a request, waits while the server is frozen, and returns the faults that
// apply to the request.
func (k *Worker) receive() WorkerFaults {
	k.mu.Lock()
	k.record.summary.Requests++
	f, unfrozen := k.faults, k.unfrozen
	k.mu.Unlock()
	if f.Freeze {
		<-unfrozen
	}
	return f
}

// startTask takes a core, counts the start and returns the service time. It returns false
// if the task is refused.
func (k *Worker) startTask(f WorkerFaults, task, kind string, body []byte) (time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Refuse || k.record.summary.Running >= k.cores {
		k.record.summary.Refused++
		return 0, false
	}
	k.record.addRunning(1)
	k.record.addStart(time.Now(), task, kind)
	if f.Fail {
		return 0, true
	}
	var p Payload
	if json.Unmarshal(body, &p) != nil || p.ServiceMS <= 0 {
		p.ServiceMS = float64(k.spread.Draw(k.rnd)) / float64(time.Millisecond)
	}
	return time.Duration(p.ServiceMS * max(f.Slow, 1) / k.speed * float64(time.Millisecond)), true
}

func (k *Worker) writeAnswer(w http.ResponseWriter, task string, f WorkerFaults, body []byte) {
	if f.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	out := fmt.Sprintf(`{"server":%q,"task":%q,"got":%d}`, k.addr, task, len(body))
	w.Header().Set(delivery.HeaderTask, task)
	w.Header().Set("Content-Type", "application/json")
	if f.Short || f.Reset {
		w.Header().Set("Content-Length", fmt.Sprint(len(out)+10))
	}
	_, _ = io.WriteString(w, out)
	if f.Reset {
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}
