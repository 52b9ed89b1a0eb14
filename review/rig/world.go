package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// heartbeatInterval is heartbeat_ms.
const heartbeatInterval = 1500 * time.Millisecond

// host is the host name of all queues, pool the service that runs their tasks.
const (
	host = "nony24.example"
	pool = "huvo11a"
)

// route is a queue of the configuration.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"path_prefix"`
	Kind      string  `json:"kind"`
	Timeout   int64   `json:"timeout_ms"`
	Objective int64   `json:"target_latency_ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"attempts"`
	Stretch   float64 `json:"stretch"`
}

// layout is a small deployment.
type layout struct {
	nodesPerZone   int
	minionsPerZone int
	// guards is enforces_capacity of the service.
	guards bool
	routes []route
	// duration returns how long a run takes.
	duration func(task string, j *job, step int) time.Duration
}

// world is a deployment: the processes of the system, and stand-ins for the platform.
type world struct {
	layout
	rec          *recorder
	dir, program string
	subnet       string
	storeAddress string
	zones        []string
	store        *store
	jobs         *jobs
	monitor      *monitor
	nodes        []*node
	minions      []*minion
	version      int
	closing      atomic.Bool
	// latePercent is the share of the minions' orders that are carried out late.
	latePercent atomic.Int64
	background  sync.WaitGroup
	// evacuated is since when each zone is being evacuated.
	evacuated sync.Map
	stop      chan struct{}
}

var errNoPorts = errors.New("no free addresses")

// newWorld starts the store, the minions and the processes, and waits until all are ready.
func newWorld(rec *recorder, program, dir string, l layout) (*world, error) {
	w := &world{layout: l, rec: rec, dir: dir, program: program, zones: []string{"gl-chicago", "gl-detroit", "gl-cleveland"}, store: newStore(), jobs: newJobs(), stop: make(chan struct{})}
	w.monitor = &monitor{w: w, running: make(map[string][]placedRun)}
	if err := w.chooseSubnet(); err != nil {
		return w, err
	}
	ln, err := net.Listen("tcp", w.subnet+".1:0")
	if err != nil {
		return w, err
	}
	w.storeAddress = ln.Addr().String()
	go func() { _ = http.Serve(ln, w.store) }()
	w.configure()
	if err := w.startMinions(); err != nil {
		return w, err
	}
	for i := range l.nodesPerZone * len(w.zones) {
		zone := i % len(w.zones)
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("front-%s-%d", w.zones[zone], i/len(w.zones)+1), zone: w.zones[zone], ip: fmt.Sprintf("%s.%d", w.subnet, 11+i)})
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return w, err
		}
	}
	w.background.Go(w.checkReadiness)
	return w, w.awaitReady(10 * time.Second)
}

// chooseSubnet chooses loopback addresses that nobody uses.
func (w *world) chooseSubnet() error {
	for range 50 {
		w.subnet = fmt.Sprintf("127.%d.%d", 2+rand.N(250), 1+rand.N(250))
		free := true
		for i := range w.nodesPerZone * len(w.zones) {
			for _, port := range []int{frontPort, controlPort, readyPort, metricsPort} {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.subnet, 11+i, port))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errNoPorts
}

func (w *world) startMinions() error {
	for i := range w.minionsPerZone * len(w.zones) {
		m := &minion{w: w, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: w.zones[i%len(w.zones)], service: pool, kind: "a", rack: fmt.Sprintf("r%d-1", i%len(w.zones)), cpu: 64000, memory: 262144, guards: w.guards}
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.subnet, 101+i))
		if err != nil {
			return err
		}
		m.address = ln.Addr().String()
		_ = ln.Close()
		if err := m.start(); err != nil {
			return err
		}
		w.minions = append(w.minions, m)
		w.background.Go(func() { w.every(heartbeatInterval, m.beat) })
	}
	return nil
}

// configure writes a new version of the configuration.
func (w *world) configure() {
	w.version += 3
	b, err := json.Marshal(map[string]any{
		"version":  w.version,
		"routes":   w.routes,
		"services": []map[string]any{{"name": pool, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": w.guards, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	w.store.put("keyed.op", "config", b)
	w.rec.log("configuration %d", w.version)
}

// every calls f at intervals until the world ends.
func (w *world) every(d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-w.stop:
			return
		}
	}
}

func (w *world) checkReadiness() {
	w.every(time.Second, func() {
		var wg sync.WaitGroup
		for _, n := range w.nodes {
			wg.Go(n.checkReady)
		}
		wg.Wait()
	})
}

func (w *world) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			w.rec.log("all nodes are ready")
			return nil
		}
	}
	return fmt.Errorf("not all nodes are ready after %v", limit)
}

// balance returns the node for a new connection: a ready one of a zone, or any ready one.
func (w *world) balance(zone string) *node {
	var inZone, ready []*node
	for _, n := range w.nodes {
		if n.isReady() {
			ready = append(ready, n)
			if n.zone == zone {
				inZone = append(inZone, n)
			}
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone[rand.N(len(inZone))]
	case len(ready) > 0:
		return ready[rand.N(len(ready))]
	}
	return w.nodes[rand.N(len(w.nodes))]
}

// close ends all processes and minions.
func (w *world) close() {
	w.closing.Store(true)
	close(w.stop)
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		n.await(2 * time.Second)
	}
	for _, m := range w.minions {
		m.crash()
	}
	w.background.Wait()
}

// panics returns the lines of the processes' output that tell of a panic.
func (w *world) panics() (out []string) {
	for _, n := range w.nodes {
		b, err := os.ReadFile(w.dir + "/" + n.name + ".log")
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(b)) {
			if strings.Contains(line, "panic") || strings.Contains(line, "fatal error") {
				out = append(out, n.name+": "+strings.TrimSpace(line))
			}
		}
	}
	return out
}

// hash returns a number that depends on a text.
func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// isLate reports whether an order is to be carried out late.
func (w *world) isLate() bool { return rand.Int64N(100) < w.latePercent.Load() }

// evacuate has the operator evacuate a zone for a time.
func (w *world) evacuate(zone string, d time.Duration) {
	w.store.put("keyed.op", "evacuate/"+zone, []byte("{}"))
	w.rec.log("evacuate %s", zone)
	w.evacuated.Store(zone, time.Now())
	time.Sleep(d)
	w.evacuated.Delete(zone)
	w.store.put("keyed.op", "evacuate/"+zone, nil)
	w.rec.log("evacuate %s ends", zone)
}
