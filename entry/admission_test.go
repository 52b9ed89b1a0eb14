package entry

import (
	"fmt"
	"log/slog"
	"testing"

	"snipehub.example/admission"
	"snipehub.example/cell"
	"snipehub.example/mesh"
)

// submitMany submits a hundred jobs of queue "q" and returns how many were requested from a
// planner, and the answers.
func submitMany(js *Jobs, at int) (requests []cell.Request, answers []Answer) {
	for i := range 100 {
		r := request(1)
		r.ID = fmt.Sprintf("%016x", i)
		js.Submit(ms(at), Waiter(i), r)
	}
	got := takeActions(js)
	for _, a := range got.answers {
		answers = append(answers, a.Answer)
	}
	return got.requests, answers
}

func levelsOf(share float64) admission.Levels {
	return admission.Levels{Queues: []admission.Level{{Queue: "q", Share: share}}}
}

// The planner has announced that it can use three tenths of the jobs. The others waited for
// most of their objective until they were refused; their callers must be told at once.
func TestJobsOverCapacityAreRefusedAtOnce(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), planner)
	js.SetLevels(ms(0), planner, levelsOf(0.3))
	requests, answers := submitMany(js, 10)
	if len(requests)+len(answers) != 100 || len(requests) < 20 || len(requests) > 40 {
		t.Fatalf("%d requests and %d answers, want about 30 and 70", len(requests), len(answers))
	}
	for _, r := range requests {
		if r.Share != 0.3 {
			t.Fatalf("a request that stands for one in %v jobs", 1/r.Share)
		}
	}
	for _, a := range answers {
		if a.Status != Refused || a.Why != cell.ReasonOverCapacity || a.RetryAfter < admission.RetryAfter(0.3) {
			t.Fatalf("answer %+v", a)
		}
	}
}

// The share that applies when the planner is lost, replaced or does not renew it.
func TestWhichLevelsApply(t *testing.T) {
	tests := []struct {
		name string
		do   func(js *Jobs)
		at   int
		all  bool
	}{
		{"the planner renews them", func(js *Jobs) { js.SetLevels(ms(900), planner, levelsOf(0.3)); js.Tick(ms(1100)) }, 1100, false},
		{"the planner ends them", func(js *Jobs) { js.SetLevels(ms(300), planner, admission.Levels{}) }, 400, true},
		{"they are not renewed", func(js *Jobs) { js.Tick(ms(1100)) }, 1100, true},
		{"another planner has not measured yet", func(js *Jobs) { js.SetPlanner(ms(300), mesh.ID{}); js.SetPlanner(ms(300), nextPlanner) }, 400, false},
		{"another planner has been there for a second", func(js *Jobs) { js.SetPlanner(ms(300), nextPlanner); js.Tick(ms(1100)) }, 1100, true},
		{"the planner ends them before it is lost and elected again", func(js *Jobs) {
			js.SetPlanner(ms(100), mesh.ID{})
			js.SetPlanner(ms(100), planner)
			js.SetLevels(ms(200), planner, admission.Levels{})
			js.SetPlanner(ms(300), mesh.ID{})
			js.SetPlanner(ms(300), planner)
		}, 400, true},
		{"another planner sends its own", func(js *Jobs) { js.SetPlanner(ms(300), nextPlanner); js.SetLevels(ms(310), nextPlanner, levelsOf(1)) }, 400, true},
		{"a former planner sends some", func(js *Jobs) {
			js.SetPlanner(ms(300), nextPlanner)
			js.SetLevels(ms(310), nextPlanner, levelsOf(1))
			js.SetLevels(ms(320), planner, levelsOf(0.1))
		}, 400, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			js := New(slog.New(slog.DiscardHandler))
			js.SetPlanner(ms(0), planner)
			js.SetLevels(ms(0), planner, levelsOf(0.3))
			tt.do(js)
			takeActions(js)
			if requests, _ := submitMany(js, tt.at); (len(requests) == 100) != tt.all {
				t.Errorf("%d of 100 admitted, want all: %v", len(requests), tt.all)
			}
		})
	}
}

// One cell is overloaded while another has room. What the one does not admit is offered to the
// other, unless that one does not admit it either.
func TestJobsOverCapacityAreOfferedElsewhere(t *testing.T) {
	js := New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), planner)
	js.SetOtherPlanners([]mesh.ID{other})
	js.SetLevels(ms(0), planner, levelsOf(0.3))
	if requests, answers := submitMany(js, 10); len(requests) != 100 || len(answers) != 0 {
		t.Fatalf("%d requests, %d answers; want all jobs requested from one of the cells", len(requests), len(answers))
	}
	js = New(slog.New(slog.DiscardHandler))
	js.SetPlanner(ms(0), planner)
	js.SetOtherPlanners([]mesh.ID{other})
	js.SetLevels(ms(0), planner, levelsOf(0.3))
	js.SetLevels(ms(0), other, levelsOf(0.1))
	if _, answers := submitMany(js, 10); len(answers) < 60 {
		t.Errorf("%d refused, want those that neither cell admits", len(answers))
	}
}
