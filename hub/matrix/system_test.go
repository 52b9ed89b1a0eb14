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

	"github.com/google/uuid"

	"snipehub.example/hub"
	"snipehub.example/job"
	"snipehub.example/ledger"
	"snipehub.example/refusal"
	"snipehub.example/settings"
	"snipehub.example/stand"
	"snipehub.example/tables"
)

// The hosts of a system. Two data centres have two dispatchers and three backend
// servers each: the first two are of the half "north", the third of "south".
const (
	platformIP = "127.9.0.1"
	callerIP   = "127.9.0.2"
	platformAt = platformIP + ":7300"
)

// system is a small one in memory: real dispatchers, the platform's stand-in
// and backend servers, on a fake clock.
type system struct {
	t       *testing.T
	net     *memNet
	log     *stand.Log
	hubs    []*node
	workers []*workerNode
	hc      *http.Client
	logs    *lockedBuffer

	starting sync.Mutex
	// changed is what the scenario's operator has asked for.
	changed change

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
	host   *memHost
}

type workerNode struct {
	dc, ip string
	w      *stand.Worker
}

// said is what a caller was told about an identity.
type said struct {
	id      string
	kind    string
	refusal *refusal.Refusal
	answer  job.Answer
	tasks   int
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
	hubCount      = 4
	workersOfDC   = 3
	workerCount   = 6
	callerPort    = 7400
	peerPort      = 7500
	workerPort    = 9000
	coresOfWorker = 8
)

// newSystem starts everything and waits until all dispatchers are ready.
func newSystem(t *testing.T) *system {
	w := &system{
		t:       t,
		net:     newMemNet(500 * time.Microsecond),
		logs:    new(lockedBuffer),
		highest: make(map[string]tables.Version),
	}
	w.hc = &http.Client{
		Transport: &http.Transport{DialContext: w.net.host(callerIP).DialContext},
		Timeout:   60 * time.Second,
	}
	w.log = stand.NewLog(time.Hour, 300)
	w.serve(platformIP, 7300, w.log)
	for i := range workerCount {
		k := &workerNode{dc: dcName(i / workersOfDC), ip: fmt.Sprintf("127.3.%d.%d", i/workersOfDC, i%workersOfDC+1)}
		k.w = stand.NewWorker(netip.AddrPortFrom(netip.MustParseAddr(k.ip), workerPort), coresOfWorker, 1, stand.Spread{Min: 200 * time.Millisecond, Max: 2 * time.Second}, uint64(i))
		w.serve(k.ip, workerPort, k.w)
		w.workers = append(w.workers, k)
	}
	w.putVMs()
	w.apply(w.rows(change{pool: "pool-a"}))
	for i := range hubCount {
		w.hubs = append(w.hubs, w.startHub(i))
	}
	time.Sleep(5 * time.Second)
	return w
}

// hub returns the process that runs on a VM now.
func (w *system) hub(i int) *node {
	w.starting.Lock()
	defer w.starting.Unlock()
	return w.hubs[i]
}

func dcName(i int) string { return fmt.Sprintf("dc%d", i) }

func (w *system) serve(ip string, port int, h http.Handler) {
	ln, err := w.net.host(ip).Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		w.t.Fatal(err)
	}
	s := &http.Server{Handler: h, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go func() { _ = s.Serve(ln) }()
	w.t.Cleanup(func() { _ = s.Close() })
}

// startHub starts a dispatcher process on its VM; a second start on the same VM
// is a restart.
func (w *system) startHub(i int) *node {
	n := &node{i: i, dc: dcName(i / 2), ip: fmt.Sprintf("127.1.%d.%d", i/2, i%2+1), done: make(chan struct{})}
	cfg, err := settings.Parse("system.toml", []byte(w.settings(n)))
	if err != nil {
		w.t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(w.logs, nil)).With("hub", i)
	n.host = w.net.host(n.ip)
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
`, n.dc, n.i, n.ip, callerPort, n.ip, peerPort, platformAt, platformAt, strings.Join(seeds, ", "))
}

// change is what an operator may change in the tables of a system.
type change struct {
	// pool is where the kind "check" goes.
	pool string
	// moved gives the second backend server of each data centre to "south".
	moved bool
	// leaving takes the first backend server of the first data centre away.
	leaving bool
}

// rows are tables that send the kind "check" to a pool of the half "north" and
// "menu" to the one of "south". Both pools of "north" have the same servers.
func (w *system) rows(c change) tables.Rows {
	r := tables.Rows{
		Routes: []tables.Route{
			{Kind: "check", Half: "north", Pool: c.pool},
			{Kind: "menu", Half: "south", Pool: "pool-s"},
		},
		Pools: []tables.Pool{
			{Name: "pool-a", Half: "north"},
			{Name: "pool-b", Half: "north"},
			{Name: "pool-s", Half: "south"},
		},
	}
	for i, k := range w.workers {
		pools := []string{"pool-a", "pool-b"}
		if n := i % workersOfDC; n == 2 || n == 1 && c.moved {
			pools = []string{"pool-s"}
		}
		for _, p := range pools {
			r.Servers = append(r.Servers, tables.Server{
				Pool: p, Address: k.address(), DataCenter: k.dc, Slots: coresOfWorker, Leaving: i == 0 && c.leaving,
			})
		}
	}
	return r
}

func (k *workerNode) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(k.ip), workerPort)
}

// record asks a backend server for its starts, in their order.
func (w *system) record(k *workerNode) []stand.Start {
	_, b, err := w.do(http.MethodGet, fmt.Sprintf("http://%s/stand/starts?view=full", k.address()), nil)
	var out struct {
		Starts []stand.Start `json:"starts"`
	}
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		w.t.Errorf("record of %s: %v", k.ip, err)
	}
	return out.Starts
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
	w.control(http.MethodPut, "http://"+platformAt+"/stand/vms", in)
}

// control speaks to a stand-in.
func (w *system) control(method, url string, in any) {
	b, err := json.Marshal(in)
	if err != nil {
		w.t.Fatal(err)
	}
	status, out, err := w.do(method, url, b)
	if err != nil || status != http.StatusOK {
		w.t.Fatalf("%s: %d %s %v", url, status, out, err)
	}
}

func (w *system) do(method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := w.hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// append puts an edit on the log as an operator does and returns its offset;
// an operator whose answer is lost gets false.
func (w *system) append(base tables.Version, put tables.Rows) (tables.Version, bool) {
	e := tables.Edit{ID: uuid.NewString(), Base: base, Author: "test", At: time.Now(), Put: put}
	b, err := json.Marshal(e)
	if err != nil {
		w.t.Fatal(err)
	}
	status, out, err := w.do(http.MethodPost, "http://"+platformAt+"/v1/streams/"+tables.Stream, b)
	var got struct {
		Offset tables.Version `json:"offset"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(out, &got) != nil {
		return ledger.None, false
	}
	return got.Offset, true
}

func (w *system) apply(r tables.Rows) {
	if _, ok := w.append(ledger.None, r); !ok {
		w.t.Fatal("the first edit failed")
	}
}

func (n *node) callers() string { return fmt.Sprintf("http://%s:%d", n.ip, callerPort) }

// mint takes a ticket over a dispatcher.
func (w *system) mint(n *node) (job.Grant, bool) {
	status, b, err := w.do(http.MethodPost, n.callers()+"/v1/tickets", nil)
	var g job.Grant
	if err != nil || status != http.StatusCreated || json.Unmarshal(b, &g) != nil {
		return g, false
	}
	return g, true
}

// put submits a job of the kind "check".
func (w *system) put(n *node, id string, tasks int) said {
	return w.submit(n, id, "check", tasks)
}

// submit submits a job of the given number of tasks and keeps what it is told.
func (w *system) submit(n *node, id, kind string, tasks int) said {
	spec := job.Spec{Kind: kind}
	for i := range tasks {
		spec.Tasks = append(spec.Tasks, json.RawMessage(fmt.Sprintf(`"%s %d"`, id, i)))
	}
	b, err := json.Marshal(spec)
	if err != nil {
		w.t.Error(err)
	}
	s := said{id: id, kind: kind, tasks: tasks}
	status, out, err := w.do(http.MethodPut, n.callers()+"/v1/jobs/"+id, b)
	switch {
	case err != nil:
		return s
	case status < 300:
		err = json.Unmarshal(out, &s.answer)
	default:
		s.refusal = new(refusal.Refusal)
		err = json.Unmarshal(out, s.refusal)
	}
	if err != nil {
		w.t.Errorf("%s: answer %q: %v", id, out, err)
	}
	w.mu.Lock()
	w.said = append(w.said, s)
	w.mu.Unlock()
	return s
}

// done tells whether the caller got the whole answer.
func (s said) done() bool { return s.refusal == nil && s.answer.State == job.Done }

// settled tells whether the caller got a final word: an answer, or a refusal
// with which it need not come back under the same id.
func (s said) settled() bool {
	if s.refusal != nil {
		return s.refusal.Again != refusal.AgainSame
	}
	return s.answer.State == job.Done || s.answer.State == job.Failed
}

// starts counts starts by task, over all backend servers and attempts.
func (w *system) starts() map[string]int {
	all := make(map[string]int)
	for _, k := range w.workers {
		_, b, err := w.do(http.MethodGet, fmt.Sprintf("http://%s:%d/stand/starts", k.ip, workerPort), nil)
		if err != nil {
			w.t.Errorf("starts: %v", err)
			continue
		}
		m := make(map[string]int)
		if err := json.Unmarshal(b, &m); err != nil {
			w.t.Errorf("starts: %v", err)
		}
		for id, n := range m {
			all[id[:strings.LastIndex(id, "/")]] += n
		}
	}
	return all
}

// kill ends a process without a planned stop: its connections are reset and
// nothing that it does afterwards is heard.
func (w *system) kill(n *node) {
	if n.killed {
		return
	}
	n.killed = true
	n.host.dead.Store(true)
	w.net.reset(n.host.ip)
	n.cancel()
}

// close ends everything.
func (w *system) close() {
	for _, n := range w.hubs {
		n.cancel()
	}
	for _, n := range w.hubs {
		<-n.done
	}
	w.net.update(func() {
		clear(w.net.cut)
		clear(w.net.frozen)
	})
	w.hc.CloseIdleConnections()
	w.net.mu.Lock()
	var all []*memConn
	for c := range w.net.conns {
		all = append(all, c)
	}
	for _, l := range w.net.listeners {
		l.shut()
	}
	w.net.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
	// The clock stands still once the test function has returned.
	time.Sleep(time.Minute)
}

// version asks a dispatcher for its tables version and holds that it never goes
// down within one incarnation.
func (w *system) version(n *node) (tables.Version, bool) {
	_, b, err := w.do(http.MethodGet, n.callers()+"/status", nil)
	var s hub.Status
	if err != nil || json.Unmarshal(b, &s) != nil {
		return ledger.None, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := fmt.Sprint(n.ip, s.Self.Owner.Incarnation)
	if s.Tables < w.highest[key] {
		w.t.Errorf("dispatcher %s: tables version went from %d down to %d", n.ip, w.highest[key], s.Tables)
	}
	w.highest[key] = s.Tables
	return s.Tables, true
}

// check holds what must always hold.
func (w *system) check() {
	starts := w.starts()
	for task, n := range starts {
		if n > 1 {
			w.t.Errorf("task %s started %d times", task, n)
		}
	}
	for _, s := range w.said {
		w.checkOne(s, starts)
	}
}

func (w *system) checkOne(s said, starts map[string]int) {
	ran := 0
	for i := range s.tasks {
		ran += starts[fmt.Sprintf("%s/%d", s.id, i)]
	}
	if s.refusal != nil {
		if s.refusal.Ran == refusal.RanNo && ran > 0 {
			w.t.Errorf("job %s: the caller was told %q, ran no, but %d tasks started", s.id, s.refusal.Code, ran)
		}
		return
	}
	if s.answer.State != job.Done {
		for i, r := range s.answer.Tasks {
			if r.Ran == refusal.RanNo && starts[fmt.Sprintf("%s/%d", s.id, i)] > 0 {
				w.t.Errorf("job %s: task %d was told not run, but started", s.id, i)
			}
			if len(r.Answer) > 0 {
				w.t.Errorf("job %s: a job that is not done shows the answer of task %d", s.id, i)
			}
		}
		return
	}
	if len(s.answer.Tasks) != s.tasks || s.answer.Job != s.id {
		w.t.Errorf("job %s: answer for %s with %d of %d tasks", s.id, s.answer.Job, len(s.answer.Tasks), s.tasks)
	}
	for i, r := range s.answer.Tasks {
		if !r.Done || len(r.Answer) == 0 {
			w.t.Errorf("job %s: done, but task %d has no answer", s.id, i)
		}
	}
}
