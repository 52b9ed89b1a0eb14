package stand

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"snipehub.example/delivery"
)

// WorkerFaults are the settable faults of a backend server.
type WorkerFaults struct {
	// Fail answers every task with 500 at once, after counting the start.
	Fail bool `json:"fail"`
	// Freeze holds every call until the fault is taken away.
	Freeze bool `json:"freeze"`
	// Reset cuts the connection in the middle of the answer.
	Reset bool `json:"reset"`
	// Short announces a longer body than it sends.
	Short bool `json:"short"`
	// Refuse answers "not run".
	Refuse bool `json:"refuse"`
	// Slow multiplies the service time, 0 counts as 1.
	Slow float64 `json:"slow"`
}

// Spread is a distribution of service times: evenly from Min to Max, and
// Long for the share LongShare of the tasks.
type Spread struct {
	Min, Max, Long time.Duration
	LongShare      float64
}

// Worker is the stand-in of a backend server.
type Worker struct {
	name   string
	cores  chan struct{}
	speed  float64
	spread Spread

	mu     sync.Mutex
	faults WorkerFaults
	thaw   chan struct{}
	starts map[string]int
	rnd    *rand.Rand
}

// NewWorker makes a backend server with the given cores; a speed of 2 halves
// the service times.
func NewWorker(name string, cores int, speed float64, spread Spread, seed uint64) *Worker {
	return &Worker{
		name:   name,
		cores:  make(chan struct{}, cores),
		speed:  speed,
		spread: spread,
		thaw:   make(chan struct{}),
		starts: make(map[string]int),
		rnd:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// ServeHTTP runs tasks and the controls of the stand-in.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/stand/starts":
		k.mu.Lock()
		defer k.mu.Unlock()
		reply(w, k.starts)
	case r.URL.Path == "/stand/faults" && r.Method == http.MethodPut:
		k.putFaults(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/tasks/"):
		k.run(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (k *Worker) putFaults(w http.ResponseWriter, r *http.Request) {
	var in WorkerFaults
	if !decode(w, r, &in) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = in
	if !in.Freeze {
		close(k.thaw)
		k.thaw = make(chan struct{})
	}
}

func (k *Worker) run(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	f, thaw := k.faults, k.thaw
	k.mu.Unlock()
	if f.Freeze {
		<-thaw
	}
	select {
	case k.cores <- struct{}{}:
		defer func() { <-k.cores }()
	default:
		f.Refuse = true
	}
	if f.Refuse {
		w.Header().Set(delivery.HeaderRan, "no")
		http.Error(w, "no core is free", http.StatusTooManyRequests)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	task := r.Header.Get(delivery.HeaderTask)
	time.Sleep(k.start(task, f))
	k.answer(w, task, f, body)
}

// start counts the start and draws the service time.
func (k *Worker) start(task string, f WorkerFaults) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.starts[task]++
	if f.Fail {
		return 0
	}
	d := k.spread.Min
	if k.spread.Max > k.spread.Min {
		d += time.Duration(k.rnd.Int64N(int64(k.spread.Max - k.spread.Min)))
	}
	if k.rnd.Float64() < k.spread.LongShare {
		d = k.spread.Long
	}
	slow := max(f.Slow, 1)
	return time.Duration(float64(d) * slow / k.speed)
}

func (k *Worker) answer(w http.ResponseWriter, task string, f WorkerFaults, body []byte) {
	if f.Fail {
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	}
	out := fmt.Sprintf(`{"server":%q,"got":%d}`, k.name, len(body))
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
