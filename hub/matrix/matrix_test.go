//go:build !race || matrix

package matrix_test

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"snipehub.example/ledger"
	"snipehub.example/operator"
	"snipehub.example/stand"
)

// pairs also runs each pair of different faults, which takes minutes.
var pairs = flag.Bool("matrix.pairs", false, "run the fault matrix with every pair of faults")

// fault is one row of the matrix.
type fault struct {
	number int
	name   string
	// inject starts the fault and returns the function that ends it.
	inject func(w *system) (heal func())
	// losesAnswers is set if the fault may cost the callers of the owner their answers,
	// so that they may be told "unknown" or "failed".
	losesAnswers bool
	// delaysChanges is set if some dispatcher can't learn of a change while the fault
	// lasts.
	delaysChanges bool
}

func noHeal() {}

var faults = []fault{
	{1, "owner killed", func(w *system) func() { return w.killHub(0) }, true, false},
	{2, "other dispatcher killed", func(w *system) func() { return w.killHub(1) }, true, false},
	{3, "owner frozen", func(w *system) func() { return w.freezeHost(w.hub(0).ip) }, true, true},
	{4, "owner not heard", func(w *system) func() { return w.cutLinks(hubIPs(w, 0), hubIPs(w, 1, 2, 3), false) }, true, true},
	{5, "owner hears nobody", func(w *system) func() { return w.cutLinks(hubIPs(w, 1, 2, 3), hubIPs(w, 0), false) }, true, true},
	{6, "owner cut off both ways", func(w *system) func() { return w.cutLinks(hubIPs(w, 0), hubIPs(w, 1, 2, 3), true) }, true, true},
	{7, "data centres cut", func(w *system) func() { return w.cutLinks(hubIPs(w, 0, 1), hubIPs(w, 2, 3), true) }, true, false},
	{8, "data centre cut from the platform", func(w *system) func() {
		return w.cutLinks(hubIPs(w, 0, 1), []string{platformIP}, true)
	}, false, true},
	{9, "data centre cut from both", func(w *system) func() {
		return w.cutLinks(hubIPs(w, 0, 1), append(hubIPs(w, 2, 3), platformIP), true)
	}, true, true},
	{10, "owner alone", func(w *system) func() {
		return w.cutLinks(hubIPs(w, 0), append(hubIPs(w, 1, 2, 3), platformIP), true)
	}, true, true},
	{11, "log down", func(w *system) func() { return w.setLogFaults(stand.LogFaults{Down: true}) }, false, true},
	{12, "log slow", func(w *system) func() { return w.setLogFaults(stand.LogFaults{SlowMS: 2500}) }, false, true},
	{13, "append answers lost", func(w *system) func() { return w.setLogFaults(stand.LogFaults{LoseAnswers: 3}) }, false, false},
	{14, "log forgets", func(w *system) func() { return w.setLogFaults(stand.LogFaults{ForgetBelow: 1000}) }, false, false},
	{15, "VM list late", func(w *system) func() { return w.replaceHub(1) }, true, false},
	{16, "operators race", func(w *system) func() { return w.raceOperators() }, false, false},
	{17, "backend server killed", func(w *system) func() { return w.killWorker(0) }, true, false},
	{18, "backend server frozen", func(w *system) func() { return w.freezeHost(w.workers[0].ip) }, true, false},
	{19, "backend server cuts answers", func(w *system) func() { return w.setWorkerFaults(0, stand.WorkerFaults{Reset: true}) }, true, false},
	{20, "backend server refuses", func(w *system) func() { return w.setWorkerFaults(0, stand.WorkerFaults{Refuse: true}) }, false, false},
	{21, "backend server fails everything", func(w *system) func() { return w.setWorkerFaults(0, stand.WorkerFaults{Fail: true}) }, true, false},
}

func hubIPs(w *system, is ...int) []string {
	var out []string
	for _, i := range is {
		out = append(out, w.hub(i).ip)
	}
	return out
}

func (w *system) killHub(i int) func() {
	old := w.hub(i)
	w.kill(old)
	return func() { w.restart(i, old) }
}

// restart starts a new process on the VM of one that ended, unless that was already done.
func (w *system) restart(i int, old *node) {
	<-old.done
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.hubs[i] == old {
		w.hubs[i] = w.startHub(i)
	}
}

// replaceHub replaces a process immediately, without a change in the VM list.
func (w *system) replaceHub(i int) func() {
	old := w.hub(i)
	w.kill(old)
	w.restart(i, old)
	return noHeal
}

func (w *system) freezeHost(ip string) func() {
	a := netip.MustParseAddr(ip)
	w.net.SetFrozen(a, true)
	return func() { w.net.SetFrozen(a, false) }
}

func (w *system) cutLinks(from, to []string, both bool) func() {
	set := func(on bool) {
		for _, f := range from {
			for _, t := range to {
				a, b := netip.MustParseAddr(f), netip.MustParseAddr(t)
				w.net.SetCut(a, b, on)
				if both {
					w.net.SetCut(b, a, on)
				}
			}
		}
	}
	set(true)
	return func() { set(false) }
}

func (w *system) setLogFaults(f stand.LogFaults) func() {
	w.control("PUT", "http://"+platformAddr+"/stand/faults", f)
	return func() { w.control("PUT", "http://"+platformAddr+"/stand/faults", stand.LogFaults{}) }
}

// setWorkerFaults does not use the network, because the backend server may also be killed
// or frozen.
func (w *system) setWorkerFaults(i int, f stand.WorkerFaults) func() {
	w.workers[i].w.SetFaults(f)
	return func() { w.workers[i].w.SetFaults(stand.WorkerFaults{}) }
}

// killWorker resets the connections of a backend server; its record of starts is kept.
func (w *system) killWorker(i int) func() {
	k := w.workers[i]
	w.net.Reset(netip.MustParseAddr(k.ip))
	return func() { w.serve(k.ip, workerPort, k.w) }
}

// raceOperators lets two operators change the route from the same version. Both keep what
// the scenario's operator has changed in the backend servers.
func (w *system) raceOperators() func() {
	var wg sync.WaitGroup
	for _, p := range []string{"pool-a", "pool-b"} {
		c := w.desiredChange()
		c.pool = p
		wg.Go(func() { _ = w.operate(c) })
	}
	wg.Wait()
	return noHeal
}

// operate applies a change to the tables once, with the code that operators use.
func (w *system) operate(c change) error {
	at := netip.MustParseAddrPort(platformAddr)
	log := ledger.New(at, at, 2*time.Second, w.net.Host(callerIP).DialContext)
	_, err := operator.Apply(context.Background(), log, w.rows(c), "test")
	return err
}

// scenario is a sequence of numbered steps, the columns of the matrix. Its run function
// calls beginStep before each step, where a fault may start.
type scenario struct {
	name  string
	steps []string
	run   func(w *system, beginStep func(step int), f fault)
}

var scenarios = []scenario{
	{"submission", []string{"before the ticket", "before the submission", "tasks running", "answer given"}, submission},
	{"own key", []string{"before the claim", "claimed", "answer given"}, ownKey},
	{"charge", []string{"before the ticket", "before the request", "running", "answer given"}, repeatedRequest},
	{"table change", []string{"before the append", "after the append", "in force here", "in force everywhere"}, tableChange},
	{"planned stop", []string{"before the signal", "draining", "ended"}, plannedStop},
	{"move between halves", []string{"before the edit", "after the edit", "in force"}, moveHalves},
	{"backend server leaving", []string{"before the edit", "after the edit", "in force"}, serverLeaving},
}

const jobTasks = 6

// submission is a caller that submits a job, considers it lost, and submits it again
// through other dispatchers.
func submission(w *system, beginStep func(int), _ fault) {
	beginStep(0)
	id := w.ticketFrom(0) + ".0"
	beginStep(1)
	var wg sync.WaitGroup
	wg.Go(func() { w.put(w.hub(1), id, jobTasks) })
	time.Sleep(300 * time.Millisecond)
	beginStep(2)
	wg.Go(func() { w.put(w.hub(2), id, jobTasks) })
	wg.Go(func() { w.put(w.hub(0), id, jobTasks) })
	wg.Wait()
	beginStep(3)
	w.put(w.hub(3), id, jobTasks)
	time.Sleep(time.Second)
}

// tableChange is an operator who changes the route while jobs run.
func tableChange(w *system, beginStep func(int), _ fault) {
	id := w.ticketFrom(0)
	var wg sync.WaitGroup
	wg.Go(func() { w.put(w.hub(0), id+".0", jobTasks) })
	beginStep(0)
	_ = w.operate(change{pool: "pool-b"})
	beginStep(1)
	time.Sleep(500 * time.Millisecond)
	w.version(w.hub(0))
	beginStep(2)
	wg.Go(func() { w.put(w.hub(1), id+".1", jobTasks) })
	time.Sleep(6 * time.Second)
	beginStep(3)
	wg.Wait()
}

// plannedStop is a planned stop of a dispatcher under load. The callers that have
// submitted must get complete answers.
func plannedStop(w *system, beginStep func(int), f fault) {
	id := w.ticketFrom(0)
	var wg sync.WaitGroup
	for i := range 3 {
		wg.Go(func() {
			s := w.put(w.hub(i%2), fmt.Sprintf("%s.%d", id, i), jobTasks)
			if !f.losesAnswers && !s.done() {
				w.t.Errorf("planned stop: job %s: %+v %v", s.identity(), s.answer, s.refusal)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	beginStep(0)
	old := w.hub(0)
	old.cancel()
	time.Sleep(100 * time.Millisecond)
	beginStep(1)
	wg.Wait()
	<-old.done
	beginStep(2)
	w.restart(0, old)
	time.Sleep(2 * time.Second)
	for i := range 3 {
		w.put(w.hub(1), fmt.Sprintf("%s.%d", id, i), jobTasks)
	}
}

// ticketFrom takes a ticket from dispatcher i, or from another one if it issues none.
func (w *system) ticketFrom(i int) string {
	for k := range hubCount * 10 {
		if g, ok := w.mint(w.hub((i + k) % hubCount)); ok {
			return g.Ticket
		}
		time.Sleep(time.Second)
	}
	w.t.Fatal("no dispatcher gives a ticket")
	return ""
}

// TestMatrix runs every fault at every step, once and also twice in succession. Each cell
// checks at its end that no task has started twice, that "not run" was true, that answers
// were complete, that all dispatchers have the newest tables, that versions never
// decreased, and that the system serves again.
func TestMatrix(t *testing.T) {
	cells := 0
	for _, sc := range scenarios {
		for step, name := range sc.steps {
			for _, f := range faults {
				for _, twice := range []bool{false, true} {
					cells++
					t.Run(cellName(sc.name, name, f.name, twice), func(t *testing.T) {
						t.Parallel()
						runCell(t, sc, step, f, twice)
					})
				}
			}
		}
	}
	t.Logf("matrix: %d faults, single and twice, at %d steps: %d cells, 0 empty", len(faults), cells/len(faults)/2, cells)
}

// TestMatrixPairs runs every pair of different faults that start at the same time.
func TestMatrixPairs(t *testing.T) {
	if !*pairs {
		t.Skip("run with -matrix.pairs; it takes minutes")
	}
	for _, sc := range scenarios {
		for step, name := range sc.steps {
			for i, f := range faults {
				for _, g := range faults[i+1:] {
					both := f
					both.losesAnswers = f.losesAnswers || g.losesAnswers
					both.delaysChanges = f.delaysChanges || g.delaysChanges
					both.inject = func(w *system) func() {
						a, b := f.inject(w), g.inject(w)
						return func() { a(); b() }
					}
					t.Run(cellName(sc.name, name, f.name+" and "+g.name, false), func(t *testing.T) {
						t.Parallel()
						runCell(t, sc, step, both, false)
					})
				}
			}
		}
	}
}

func cellName(parts ...any) string {
	s := fmt.Sprintf("%s/%s/%s", parts[0], parts[1], parts[2])
	if parts[3] == true {
		s += ", twice"
	}
	return strings.ReplaceAll(s, " ", "_")
}

const (
	faultDuration = 10 * time.Second
	settleTime    = 16 * time.Second
)

func runCell(t *testing.T, sc scenario, step int, f fault, twice bool) {
	synctest.Test(t, func(t *testing.T) {
		w := newSystem(t)
		defer w.close()
		var wg sync.WaitGroup
		sc.run(w, func(s int) {
			if s != step {
				return
			}
			heal := f.inject(w)
			wg.Go(func() {
				time.Sleep(faultDuration)
				heal()
				if twice {
					time.Sleep(time.Second)
					heal = f.inject(w)
					time.Sleep(faultDuration)
					heal()
				}
			})
		}, f)
		wg.Wait()
		time.Sleep(settleTime)
		w.checkTables()
		w.checkServes()
		w.checkInvariants()
		if t.Failed() {
			t.Logf("logs:\n%s", w.logs)
		}
	})
}

// checkTables checks that all dispatchers answer and have the same tables version.
func (w *system) checkTables() {
	want := ledger.None
	for i, n := range w.hubs {
		v, ok := w.version(n)
		switch {
		case !ok:
			w.t.Errorf("dispatcher %s does not answer", n.ip)
		case i == 0:
			want = v
		case v != want:
			w.t.Errorf("dispatcher %s has tables %d, the first has %d", n.ip, v, want)
		}
	}
	if want == ledger.None {
		w.t.Error("no tables in force")
	}
}

// maxRepeatedCalls bounds the number of recorded calls that are repeated at the end.
const maxRepeatedCalls = 12

// checkServes checks that a caller that retries gets a final answer for its identity, and
// that new jobs are done.
func (w *system) checkServes() {
	for _, s := range w.said[max(0, len(w.said)-maxRepeatedCalls):] {
		for _, n := range w.hubs {
			if a := w.ask(n, s.call); !a.isFinal() {
				w.t.Errorf("%s over %s: no final answer: %+v %v", s.identity(), n.ip, a.answer, a.refusal)
			}
		}
	}
	for _, n := range w.hubs {
		g, ok := w.mint(n)
		if !ok {
			w.t.Errorf("dispatcher %s gives no ticket", n.ip)
			continue
		}
		if s := w.put(n, g.Ticket+".0", 2); !s.done() {
			w.t.Errorf("dispatcher %s: new job: %+v %v", n.ip, s.answer, s.refusal)
		}
	}
}
