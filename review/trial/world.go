package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Names of the deployment.
const (
	service       = "bloomdesk"
	host          = "orders.example"
	prefix        = "/orders/"
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
	portStore     = 7300
	portMinion    = 8000
)

// deployment is what a case runs on.
type deployment struct {
	processes, minions int
	// minionCPU is the room of a minion, in thousandths of a core.
	minionCPU int
	// guards is set if the minions reject what does not fit.
	guards bool
	// lateShare is the share of the orders that are carried out late.
	lateShare float64
	// kind returns the kind of a minion.
	kind  func(i int) string
	judge judge
}

// world is a running deployment: the processes of the system, a store and minions.
type world struct {
	rec       *record
	dir       string
	net       string
	store     *store
	minions   []*minion
	processes []*process
	server    *http.Server
}

// newWorld starts a deployment and waits until all processes are ready.
func newWorld(rec *record, d deployment) (*world, error) {
	dir, err := os.MkdirTemp("", "review-trial")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, store: newStore()}
	for range 50 {
		w.net = fmt.Sprintf("127.%d.%d", 32+rand.IntN(200), 1+rand.IntN(250))
		if w.portsFree(d) {
			break
		}
	}
	ln, err := net.Listen("tcp", w.ip(1)+fmt.Sprintf(":%d", portStore))
	if err != nil {
		return w, err
	}
	w.server = &http.Server{Handler: w.store.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(ln) }()
	w.store.put(topicOperator, "config", []byte(operatorConfig(d.guards)))
	for i := range d.minions {
		m := &minion{
			id: fmt.Sprintf("i-%04x", 0x51a0+i*37), address: fmt.Sprintf("%s:%d", w.ip(2), portMinion+i), zone: zones[i%len(zones)],
			rack: fmt.Sprintf("r%d-%d", i%len(zones), i/(8*len(zones))), cpu: d.minionCPU, guards: d.guards, lateShare: d.lateShare, store: w.store, rec: rec, judge: d.judge,
		}
		if err := m.boot(d.kind(i)); err != nil {
			return w, err
		}
		w.minions = append(w.minions, m)
	}
	endOnSignal(w)
	if err := w.startProcesses(d.processes); err != nil {
		return w, err
	}
	return w, w.awaitReady()
}

func operatorConfig(guards bool) string {
	return fmt.Sprintf(`{"version":7,"routes":[{"name":"orders","host":%q,"path_prefix":%q,"timeout_ms":20000,"target_latency_ms":500,"priority":0,"service":%q,"attempts":3,"stretch":1.6}],
"services":[{"name":%q,"health_path":"/healthz","max_conns":64,"enforces_capacity":%v}],
"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, host, prefix, service, service, guards)
}

func (w *world) ip(last int) string { return fmt.Sprintf("%s.%d", w.net, last) }

func (w *world) portsFree(d deployment) bool {
	addresses := []string{fmt.Sprintf("%s:%d", w.ip(1), portStore)}
	for i := range d.processes {
		for _, p := range []int{portCallers, portReady, portPeers, portMetrics} {
			addresses = append(addresses, fmt.Sprintf("%s:%d", w.ip(11+i), p))
		}
	}
	for _, a := range addresses {
		ln, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

func (w *world) startProcesses(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.ip(11+i), portPeers))
	}
	for i := range n {
		name := fmt.Sprintf("front-%d", i+1)
		p := &process{name: name, address: fmt.Sprintf("%s:%d", w.ip(11+i), portCallers), settings: filepath.Join(w.dir, name+".conf"), log: filepath.Join(w.dir, name+".log"), rec: w.rec}
		text := settingsText(name, zones[i%len(zones)], w.ip(11+i), fmt.Sprintf("%s:%d", w.ip(1), portStore), seeds)
		if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.processes = append(w.processes, p)
		if err := p.start(); err != nil {
			return err
		}
		if i == 0 {
			// The first one to register plans.
			time.Sleep(250 * time.Millisecond)
		}
	}
	return nil
}

// awaitReady waits until all processes report that they are ready, and a little longer.
func (w *world) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(20 * time.Second)
	for i := range w.processes {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", w.ip(11+i), portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("process %d is not ready", i+1)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second)
	return nil
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	_ = os.RemoveAll(w.dir)
}
