//go:build !race || matrix

package matrix_test

import (
	"fmt"
	"strings"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/stand"
)

// tally counts starts by identity and task, over all backend servers and attempts. The
// work of a caller's own key is identified by its kind.
type tally map[string]int

func (w *system) tally() tally {
	t := make(tally)
	for _, k := range w.workers {
		for _, s := range w.startsOf(k) {
			t[taskOf(s)]++
		}
	}
	return t
}

func taskOf(s stand.Start) string {
	parts := strings.Split(s.Task, "/")
	if strings.HasPrefix(s.Kind, keyedKind) {
		return s.Kind + "/" + parts[1]
	}
	return parts[0] + "/" + parts[1]
}

// started returns the number of starts of a call's task.
func (t tally) started(c call, i int) int {
	if c.key != "" {
		return t[fmt.Sprintf("%s/%d", c.kind, i)]
	}
	return t[fmt.Sprintf("%s/%d", c.id, i)]
}

// checkInvariants checks what must hold after every course of events.
func (w *system) checkInvariants() {
	t := w.tally()
	for task, n := range t {
		if n > 1 {
			w.t.Errorf("task %s started %d times", task, n)
		}
	}
	for _, s := range w.said {
		w.checkNotRun(s, t)
		w.checkAnswer(s)
	}
}

// checkNotRun checks that "not run" was true, including for copies that arrived later.
func (w *system) checkNotRun(s said, t tally) {
	for i := range s.tasks {
		n := t.started(s.call, i)
		switch {
		case n == 0:
		case s.refusal != nil && s.refusal.Ran == refusal.RanNo:
			w.t.Errorf("%s: told %q, ran no, but task %d started", s.identity(), s.refusal.Code, i)
		case i < len(s.answer.Tasks) && s.answer.Tasks[i].Ran == refusal.RanNo:
			w.t.Errorf("%s: told that task %d did not run, but it started", s.identity(), i)
		}
	}
}

// checkAnswer checks that an answer is for the caller's own job, and complete or failed.
func (w *system) checkAnswer(s said) {
	if s.refusal != nil || s.request || s.answer.State == "" {
		return
	}
	if s.key == "" && s.answer.Job != s.id {
		w.t.Errorf("%s: answer for %s", s.identity(), s.answer.Job)
	}
	done := s.answer.State == job.Done
	if done && len(s.answer.Tasks) != s.tasks {
		w.t.Errorf("%s: done with %d of %d tasks", s.identity(), len(s.answer.Tasks), s.tasks)
	}
	for i, r := range s.answer.Tasks {
		switch {
		case done && (!r.Done || len(r.Answer) == 0):
			w.t.Errorf("%s: done, but task %d has no answer", s.identity(), i)
		case !done && len(r.Answer) > 0:
			w.t.Errorf("%s: not done, but shows the answer of task %d", s.identity(), i)
		}
	}
}
