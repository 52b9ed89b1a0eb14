//go:build !race || matrix

package matrix_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"snipehub.example/hub"
	"snipehub.example/internal/memnet"
	"snipehub.example/ledger"
	"snipehub.example/settings"
	"snipehub.example/stand"
	"snipehub.example/tables"
)

// The hosts of a system. Each of the two data centres has two dispatchers and three backend
// servers, of which the first two belong to the half "north" and the third to "south".
const (
	platformIP   = "127.9.0.1"
	callerIP     = "127.9.0.2"
	platformAddr = platformIP + ":7300"
)

// system is a small deployment in memory, on a fake clock: real dispatchers, and
// stand-ins for the platform and the backend servers.
type system struct {
	t       *testing.T
	net     *memnet.Net
	log     *stand.Log
	hubs    []*node
	workers []*workerNode
	hc      *http.Client
	logs    *lockedBuffer

	// starting guards hubs and is held while a process is restarted.
	starting sync.Mutex
	// desired is the change that the scenario's operator makes to the backend servers,
	// or zero if there is none. It is guarded by mu.
	desired change

	mu      sync.Mutex
	said    []said
	highest map[string]tables.Version
}

// node is one dispatcher process.
type node struct {
	i      int
	dc     string
	ip     string
	cancel context.CancelFunc
	done   chan struct{}
	killed bool
	h      *hub.Hub
	host   *memnet.Host
}

type workerNode struct {
	dc, ip string
	w      *stand.Worker
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const (
	hubCount       = 4
	workersPerDC   = 3
	workerCount    = 6
	callerPort     = 7400
	peerPort       = 7500
	workerPort     = 9000
	coresPerWorker = 8
)

// newSystem starts all parts and gives the dispatchers time to become ready.
func newSystem(t *testing.T) *system {
	w := &system{
		t:       t,
		net:     memnet.New(500 * time.Microsecond),
		logs:    new(lockedBuffer),
		highest: make(map[string]tables.Version),
	}
	w.hc = &http.Client{
		Transport: &http.Transport{DialContext: w.net.Host(callerIP).DialContext},
		Timeout:   60 * time.Second,
	}
	w.log = stand.NewLog(time.Hour, 300)
	w.serve(platformIP, 7300, w.log)
	for i := range workerCount {
		k := &workerNode{dc: dcName(i / workersPerDC), ip: fmt.Sprintf("127.3.%d.%d", i/workersPerDC, i%workersPerDC+1)}
		k.w = stand.NewWorker(netip.AddrPortFrom(netip.MustParseAddr(k.ip), workerPort), coresPerWorker, 1, stand.ServiceTimes{Min: 200 * time.Millisecond, Max: 2 * time.Second}, uint64(i))
		w.serve(k.ip, workerPort, k.w)
		w.workers = append(w.workers, k)
	}
	w.putVMs()
	w.appendInitialTables(w.rows(change{pool: "pool-a"}))
	for i := range hubCount {
		w.hubs = append(w.hubs, w.startHub(i))
	}
	time.Sleep(5 * time.Second)
	return w
}

// hub returns the current process on VM i.
func (w *system) hub(i int) *node {
	w.starting.Lock()
	defer w.starting.Unlock()
	return w.hubs[i]
}

func dcName(i int) string { return fmt.Sprintf("dc%d", i) }

func (w *system) serve(ip string, port int, h http.Handler) {
	ln, err := w.net.Host(ip).Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = s.Close() })
}

// startHub starts a dispatcher process on its VM. A second start on the same VM is a
// restart.
func (w *system) startHub(i int) *node {
	n := &node{i: i, dc: dcName(i / 2), ip: fmt.Sprintf("127.1.%d.%d", i/2, i%2+1), done: make(chan struct{})}
	cfg, err := settings.Parse("system.toml", []byte(w.settings(n)))
	if err != nil {
		w.t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(w.logs, nil)).With("hub", i)
	n.host = w.net.Host(n.ip)
	n.h, err = hub.New(cfg, log, n.host)
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.h.Run(ctx)
	}()
	return n
}

func (w *system) settings(n *node) string {
	var seeds []string
	for i := range hubCount {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("127.1.%d.%d:%d", i/2, i%2+1, peerPort)))
	}
	return fmt.Sprintf(`[process]
data_center = %q
vm = "vm%d"
name = "hub"
[listen]
callers = "%s:%d"
peers = "%s:%d"
[platform]
log = %q
vms = %q
[peers]
seeds = [%s]
[callers]
open = true
[tables]
settle = "6s"
`, n.dc, n.i, n.ip, callerPort, n.ip, peerPort, platformAddr, platformAddr, strings.Join(seeds, ", "))
}

func (k *workerNode) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(k.ip), workerPort)
}

func (w *system) putVMs() {
	var in struct {
		VMs []ledger.VM `json:"vms"`
	}
	for i := range hubCount {
		in.VMs = append(in.VMs, ledger.VM{
			Name:       fmt.Sprintf("vm%d", i),
			Address:    netip.MustParseAddr(fmt.Sprintf("127.1.%d.%d", i/2, i%2+1)),
			DataCenter: dcName(i / 2),
		})
	}
	w.control(http.MethodPut, "http://"+platformAddr+"/stand/vms", in)
}

// control sends a request to a stand-in.
func (w *system) control(method, url string, in any) {
	b, err := json.Marshal(in)
	if err != nil {
		w.t.Fatal(err)
	}
	status, out, err := w.do(method, url, b, nil)
	if err != nil || status != http.StatusOK {
		w.t.Fatalf("%s: %d %s %v", url, status, out, err)
	}
}

func (w *system) do(method, url string, body []byte, header map[string]string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := w.hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// kill ends a process without a planned stop: its connections are reset, and nothing that
// it sends afterwards arrives.
func (w *system) kill(n *node) {
	if n.killed {
		return
	}
	n.killed = true
	n.host.Kill()
	n.cancel()
}

// close stops all dispatchers and the network.
func (w *system) close() {
	for _, n := range w.hubs {
		n.cancel()
	}
	for _, n := range w.hubs {
		<-n.done
	}
	w.hc.CloseIdleConnections()
	w.net.Close()
	// The fake clock stops once the test function has returned: goroutines that still wait
	// for a timer would never end, so let a minute pass first.
	time.Sleep(time.Minute)
}
