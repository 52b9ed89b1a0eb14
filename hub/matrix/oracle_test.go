//go:build !race || matrix

package matrix_test

import (
	"fmt"
	"strings"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/stand"
)

// tally counts starts by identity and task, over all backend servers and
// attempts. The work of a caller's own key goes by its kind.
type tally map[string]int

func (w *system) tally() tally {
	t := make(tally)
	for _, k := range w.workers {
		for _, s := range w.record(k) {
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

// started counts the starts of a call's task.
func (t tally) started(c call, i int) int {
	if c.key != "" {
		return t[fmt.Sprintf("%s/%d", c.kind, i)]
	}
	return t[fmt.Sprintf("%s/%d", c.id, i)]
}

// check holds what must always hold.
func (w *system) check() {
	t := w.tally()
	for task, n := range t {
		if n > 1 {
			w.t.Errorf("task %s started %d times", task, n)
		}
	}
	for _, s := range w.said {
		w.checkRan(s, t)
		w.checkWhole(s)
	}
}

// checkRan holds that "not run" was true, also of copies that came later.
func (w *system) checkRan(s said, t tally) {
	for i := range s.tasks {
		n := t.started(s.call, i)
		switch {
		case n == 0:
		case s.refusal != nil && s.refusal.Ran == refusal.RanNo:
			w.t.Errorf("%s: told %q, ran no, but task %d started", s.name(), s.refusal.Code, i)
		case i < len(s.answer.Tasks) && s.answer.Tasks[i].Ran == refusal.RanNo:
			w.t.Errorf("%s: told that task %d did not run, but it started", s.name(), i)
		}
	}
}

// checkWhole holds that an answer is complete or failed, and one's own.
func (w *system) checkWhole(s said) {
	if s.refusal != nil || s.request || s.answer.State == "" {
		return
	}
	if s.key == "" && s.answer.Job != s.id {
		w.t.Errorf("%s: answer for %s", s.name(), s.answer.Job)
	}
	done := s.answer.State == job.Done
	if done && len(s.answer.Tasks) != s.tasks {
		w.t.Errorf("%s: done with %d of %d tasks", s.name(), len(s.answer.Tasks), s.tasks)
	}
	for i, r := range s.answer.Tasks {
		switch {
		case done && (!r.Done || len(r.Answer) == 0):
			w.t.Errorf("%s: done, but task %d has no answer", s.name(), i)
		case !done && len(r.Answer) > 0:
			w.t.Errorf("%s: not done, but shows the answer of task %d", s.name(), i)
		}
	}
}
