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

// The seed is fixed, so that the verdict is the same each time. A long run:
// go test ./hub -run TestIdentities -rapid.seed=0 -rapid.checks=20000
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "60")
}

// submission is an order as its caller knows it: under a ticket's sequence or a
// key of its own, with a body that no other order has.
type submission struct {
	id   ticket.JobID
	key  string
	body string
	// no tells that it was called "not run", done that it was answered whole.
	no, done bool
}

// oracle is what callers and backend servers have seen.
type oracle struct {
	*world
	orders  []*submission
	tickets []ticket.ID
}

const places = 3

func (o *oracle) running(t *rapid.T, label string) *node {
	i := rapid.IntRange(0, places-1).Draw(t, label)
	for k := len(o.nodes) - 1; k >= 0; k-- {
		if o.nodes[k].self.VM == fmt.Sprint("vm", i) {
			return o.nodes[k]
		}
	}
	return nil
}

// order picks an order that was submitted before, or makes one.
func (o *oracle) order(t *rapid.T) *submission {
	if len(o.orders) > 0 && rapid.IntRange(0, 3).Draw(t, "new") > 0 {
		return rapid.SampledFrom(o.orders).Draw(t, "order")
	}
	s := &submission{body: fmt.Sprintf(`"order %d"`, len(o.orders))}
	if len(o.tickets) == 0 || rapid.Bool().Draw(t, "key") {
		off := time.Duration(rapid.IntRange(-30, 30).Draw(t, "clock off")) * time.Second
		s.key = keyAt(o.now.Add(off), len(o.orders))
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
	s := o.order(t)
	n := o.running(t, "over")
	var a job.Answer
	var err error
	if s.key != "" {
		a, err = n.putKey(s.key, s.body)
	} else {
		a, err = n.put(s.id, s.body)
	}
	o.judge(t, s, a, err)
}

// judge holds an answer against what was said and seen before.
func (o *oracle) judge(t *rapid.T, s *submission, a job.Answer, err error) {
	var r *refusal.Refusal
	switch {
	case errors.As(err, &r):
		if r.Ran == refusal.RanNo && s.done {
			t.Fatalf("%s was done, and is called not run: %v", s.body, r)
		}
		s.no = s.no || r.Ran == refusal.RanNo
	case err != nil:
		t.Fatalf("%s: %v is no refusal", s.body, err)
	case a.State == job.Done:
		if len(a.Tasks) != 1 || string(a.Tasks[0].Answer) != s.body {
			t.Fatalf("%s got the answer %+v", s.body, a)
		}
		s.done = true
	}
}

func (o *oracle) check(t *rapid.T) {
	for _, s := range o.orders {
		n := o.starts[s.body]
		if n > 1 {
			t.Fatalf("%s started %d times", s.body, n)
		}
		if s.no && n > 0 {
			t.Fatalf("%s was called not run, and started", s.body)
		}
	}
}

// settle waits for questions whose answers nobody waits for any more.
func (o *oracle) settle() {
	for _, n := range o.nodes {
		n.desk.fwd.asking.Wait()
	}
}

// reset takes the faults of the network away.
func (o *oracle) reset() {
	clear(o.deaf)
	clear(o.mute)
}

// actions are what callers do and what goes wrong, in any order.
func (o *oracle) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) {
			o.settle()
			o.check(t)
			o.reset()
		},
		"submit":  o.submit,
		"submit2": o.submit,
		"submit over a bad network": func(t *rapid.T) {
			o.deaf[o.running(t, "deaf").at] = rapid.Bool().Draw(t, "request lost")
			o.mute[o.running(t, "mute").at] = true
			o.submit(t)
		},
		"mint": func(t *rapid.T) {
			n := o.running(t, "at")
			if g, err := n.desk.Mint(context.Background(), lake); err == nil {
				id, _ := ticket.ParseID(g.Ticket)
				o.tickets = append(o.tickets, id)
				o.tickets = o.tickets[max(0, len(o.tickets)-3):]
			}
		},
		"look": func(t *rapid.T) {
			if s := o.order(t); s.key == "" {
				a, err := o.running(t, "over").desk.Lookup(context.Background(), lake, s.id)
				o.judge(t, s, a, err)
			}
		},
		"cancel": func(t *rapid.T) {
			if s := o.order(t); s.key == "" {
				n := o.running(t, "at")
				a, err := n.desk.owner.Cancel(lake, s.id)
				o.judge(t, s, a, err)
			}
		},
		"finish": func(t *rapid.T) { o.running(t, "at").finish() },
		"load": func(t *rapid.T) {
			n := o.running(t, "at")
			n.refuse = nil
			if rapid.Bool().Draw(t, "overloaded") {
				n.refuse = refusal.New(refusal.Overloaded, "")
			}
		},
		"kill and restart": func(t *rapid.T) {
			i := rapid.IntRange(0, places-1).Draw(t, "place")
			before := o.nodes
			o.boot(i)
			for _, n := range before {
				n.gone = n.gone && (rapid.IntRange(0, 2).Draw(t, "noticed") > 0)
			}
		},
		"stop and restart": func(t *rapid.T) {
			n := o.running(t, "at")
			o.mute[o.running(t, "mute").at] = rapid.Bool().Draw(t, "answer lost")
			n.stop()
			o.settle()
			var i int
			_, _ = fmt.Sscanf(n.self.VM, "vm%d", &i)
			o.boot(i)
		},
		"suspect": func(t *rapid.T) {
			n := o.running(t, "whom")
			n.suspect = !n.suspect
		},
		"log": func(t *rapid.T) {
			o.logFault = rapid.SampledFrom([]string{"", "", logDown, logSlow, appendLost, answerLost, logDuplicate}).Draw(t, "fault")
			if rapid.Bool().Draw(t, "forget") {
				o.forget(rapid.IntRange(1, 5).Draw(t, "records"))
			}
		},
		"pass": func(t *rapid.T) {
			o.pass(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
		},
		"idle": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "long") == 0 {
				o.pass(o.limits.AnswerRetention)
			}
		},
	}
}

// Callers submit orders under tickets and keys over several dispatchers, again
// and again and late, while messages and their answers are lost, processes are
// killed, stopped and restarted, the roster is wrong, dispatchers are
// overloaded and the log is down, slow, repeats and forgets. Whatever happens,
// an order starts once at most, one that was called "not run" never starts, and
// an answer is whole and the caller's own.
func TestIdentities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(0)
		w.limits.KeptBytes = 1500
		for i := range places {
			w.boot(i)
		}
		t.Repeat((&oracle{world: w}).actions())
	})
}
