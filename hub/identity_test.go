package hub

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"pgregory.net/rapid"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/ticket"
)

// The seed is fixed for reproducible results. A long run:
//
//	go test ./hub -run TestIdentities -rapid.seed=0 -rapid.checks=20000
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
}

// submission is an order as its caller knows it: under a sequence number of a ticket or a
// key of the caller's own, with a unique body.
type submission struct {
	id   ticket.JobID
	key  string
	body string
	// notRun is set if the caller was told "not run", done if it got the whole answer.
	notRun, done bool
}

// oracle records what callers and backend servers have seen.
type oracle struct {
	*world
	orders  []*submission
	tickets []ticket.ID
}

const nodeCount = 3

// pickNode returns the newest incarnation of a drawn node.
func (o *oracle) pickNode(t *rapid.T, label string) *node {
	i := rapid.IntRange(0, nodeCount-1).Draw(t, label)
	for k := len(o.nodes) - 1; k >= 0; k-- {
		if o.nodes[k].self.VM == fmt.Sprint("vm", i) {
			return o.nodes[k]
		}
	}
	return nil
}

// pickOrder returns an order that was submitted before, or a new one.
func (o *oracle) pickOrder(t *rapid.T) *submission {
	if len(o.orders) > 0 && rapid.IntRange(0, 3).Draw(t, "new") > 0 {
		return rapid.SampledFrom(o.orders).Draw(t, "order")
	}
	s := &submission{body: fmt.Sprintf(`"order %d"`, len(o.orders))}
	if len(o.tickets) == 0 || rapid.Bool().Draw(t, "key") {
		off := time.Duration(rapid.IntRange(-30, 30).Draw(t, "clock off")) * time.Second
		s.key = uuidAt(o.now.Add(off), len(o.orders))
	} else {
		tk := rapid.SampledFrom(o.tickets).Draw(t, "ticket")
		s.id = tk.Job(rapid.Uint64Range(0, 6).Draw(t, "seq"))
		for _, other := range o.orders {
			if other.id == s.id {
				return other
			}
		}
	}
	o.orders = append(o.orders, s)
	return s
}

func (o *oracle) submit(t *rapid.T) {
	s := o.pickOrder(t)
	n := o.pickNode(t, "over")
	var a job.Answer
	var err error
	if s.key != "" {
		a, err = n.submitWithKey(s.key, s.body)
	} else {
		a, err = n.submitWithID(s.id, s.body)
	}
	o.checkAnswer(t, s, a, err)
}

// checkAnswer checks an answer against earlier answers to the same order.
func (o *oracle) checkAnswer(t *rapid.T, s *submission, a job.Answer, err error) {
	var r *refusal.Refusal
	switch {
	case errors.As(err, &r):
		if r.Ran == refusal.RanNo && s.done {
			t.Fatalf("%s was done, and is called not run: %v", s.body, r)
		}
		s.notRun = s.notRun || r.Ran == refusal.RanNo
	case err != nil:
		t.Fatalf("%s: %v is no refusal", s.body, err)
	case a.State == job.Done:
		if len(a.Tasks) != 1 || string(a.Tasks[0].Answer) != s.body {
			t.Fatalf("%s got the answer %+v", s.body, a)
		}
		s.done = true
	}
}

// checkStarts checks that no order has started twice, or after it was called "not run".
func (o *oracle) checkStarts(t *rapid.T) {
	for _, s := range o.orders {
		n := o.starts[s.body]
		if n > 1 {
			t.Fatalf("%s started %d times", s.body, n)
		}
		if s.notRun && n > 0 {
			t.Fatalf("%s was called not run, and started", s.body)
		}
	}
}

// awaitQueries waits for open queries to peers whose answers are no longer needed.
func (o *oracle) awaitQueries() {
	for _, n := range o.nodes {
		n.jobService.fwd.pendingQueries.Wait()
	}
}

// healNetwork removes the faults of the network.
func (o *oracle) healNetwork() {
	clear(o.requestsLost)
	clear(o.answersLost)
}

// actions returns what callers do and what fails; rapid runs these in random order.
func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			o.awaitQueries()
			o.checkStarts(t)
			o.healNetwork()
		},
		"submit":  o.submit,
		"submit2": o.submit,
		"submit over a bad network": func(t *rapid.T) {
			o.requestsLost[o.pickNode(t, "deaf").at] = rapid.Bool().Draw(t, "request lost")
			o.answersLost[o.pickNode(t, "mute").at] = true
			o.submit(t)
		},
		"mint": func(t *rapid.T) {
			n := o.pickNode(t, "at")
			if g, err := n.jobService.Mint(context.Background(), lake); err == nil {
				id, _ := ticket.ParseID(g.Ticket)
				o.tickets = append(o.tickets, id)
				o.tickets = o.tickets[max(0, len(o.tickets)-3):]
			}
		},
		"look": func(t *rapid.T) {
			if s := o.pickOrder(t); s.key == "" {
				a, err := o.pickNode(t, "over").jobService.Lookup(context.Background(), lake, s.id)
				o.checkAnswer(t, s, a, err)
			}
		},
		"cancel": func(t *rapid.T) {
			if s := o.pickOrder(t); s.key == "" {
				n := o.pickNode(t, "at")
				a, err := n.jobService.owner.Cancel(lake, s.id)
				o.checkAnswer(t, s, a, err)
			}
		},
		"finish": func(t *rapid.T) { o.pickNode(t, "at").finishOldest() },
		"load": func(t *rapid.T) {
			n := o.pickNode(t, "at")
			n.submitErr = nil
			if rapid.Bool().Draw(t, "overloaded") {
				n.submitErr = refusal.New(refusal.Overloaded, "")
			}
		},
		"kill and restart": func(t *rapid.T) {
			i := rapid.IntRange(0, nodeCount-1).Draw(t, "place")
			before := o.nodes
			o.startNode(i)
			for _, n := range before {
				n.gone = n.gone && (rapid.IntRange(0, 2).Draw(t, "noticed") > 0)
			}
		},
		"stop and restart": func(t *rapid.T) {
			n := o.pickNode(t, "at")
			o.answersLost[o.pickNode(t, "mute").at] = rapid.Bool().Draw(t, "answer lost")
			n.stopPlanned()
			o.awaitQueries()
			var i int
			_, _ = fmt.Sscanf(n.self.VM, "vm%d", &i)
			o.startNode(i)
		},
		"suspect": func(t *rapid.T) {
			n := o.pickNode(t, "whom")
			n.suspect = !n.suspect
		},
		"log": func(t *rapid.T) {
			o.logFault = rapid.SampledFrom([]string{"", "", logDown, logSlow, appendLost, appendAnswerLost, logDuplicate}).Draw(t, "fault")
			if rapid.Bool().Draw(t, "forget") {
				o.dropRecords(rapid.IntRange(1, 5).Draw(t, "records"))
			}
		},
		"pass": func(t *rapid.T) {
			o.advance(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
		},
		"idle": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
				o.advance(o.limits.AnswerRetention)
			}
		},
	}
}

// Callers submit orders under tickets and keys through several dispatchers, repeatedly
// and late, while requests and answers are lost, processes are killed, stopped and
// restarted, the roster is wrong, dispatchers are overloaded, and the log is down, slow,
// duplicates appends and drops records. An order must start at most once and never after
// it was called "not run", and each answer must be complete and belong to its order.
func TestIdentities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(0)
		w.limits.KeptBytes = 1500
		for i := range nodeCount {
			w.startNode(i)
		}
		t.Repeat((&oracle{world: w}).actions())
	})
}
