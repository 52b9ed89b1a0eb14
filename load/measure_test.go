package load

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"

	"snipehub.example/job"
	"snipehub.example/refusal"
	"snipehub.example/stand"
)

func near(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

func TestIdeal(t *testing.T) {
	tests := []struct {
		service  []time.Duration
		maxSpeed float64
		want     time.Duration
	}{
		{[]time.Duration{100 * time.Millisecond}, 1, 100 * time.Millisecond},
		{[]time.Duration{100 * time.Millisecond, time.Second, 50 * time.Millisecond}, 1, time.Second},
		{[]time.Duration{time.Second}, 2, 500 * time.Millisecond},
	}
	for _, tt := range tests {
		if got := (arrival{service: tt.service}).ideal(tt.maxSpeed); got != tt.want {
			t.Errorf("%v at %v: %v, want %v", tt.service, tt.maxSpeed, got, tt.want)
		}
	}
}

// The stand-in must decode exactly the service time from which the ideal is computed.
func TestPayloadCarriesService(t *testing.T) {
	a := arrival{kind: "check", service: []time.Duration{123456 * time.Microsecond}}
	var p stand.Payload
	if err := json.Unmarshal(a.spec().Tasks[0], &p); err != nil || p.ServiceMS != 123.456 {
		t.Errorf("%s: %v, %v", a.spec().Tasks[0], p, err)
	}
}

func outcomeAt(at, response time.Duration, caller, tasks int, v verdict) outcome {
	a := arrival{at: at, caller: caller, service: make([]time.Duration, tasks)}
	return outcome{arrival: a, response: response, ideal: time.Second, verdict: v}
}

func TestMeasure(t *testing.T) {
	s := Scenario{Phases: []Phase{newPhase(6*time.Second, 1), newPhase(2*time.Second, 1)}}
	callers := []Caller{{Name: "a"}, {Name: "b"}}
	all := []outcome{
		outcomeAt(0, time.Second, 0, 10, verdictDone),                     // in the ramp, and warming up
		outcomeAt(3*time.Second, time.Second, 0, 30, verdictDone),         // in the first phase
		outcomeAt(5*time.Second, 2*time.Second, 1, 8, verdictDone),        // ends in the second
		outcomeAt(7*time.Second, 40*time.Second, 1, 4, verdictDone),       // ends after it
		outcomeAt(7*time.Second, time.Millisecond, 1, 12, verdictRefused), // no goodput
		outcomeAt(7*time.Second, time.Minute, 1, 1, verdictLost),          // no answer
	}
	var r Report
	r.measure(s, callers, all)
	if want := []float64{10, 4}; !reflect.DeepEqual(r.Goodput, want) {
		t.Errorf("goodput %v, want %v", r.Goodput, want)
	}
	if want := (Counts{Offered: 6, Done: 4, Refused: 1, Lost: 1}); r.Jobs != want {
		t.Errorf("jobs %+v", r.Jobs)
	}
	if r.Ratio.N != 3 || !near(r.Ratio.P50, 2, 0.01) || !near(r.Ratio.Max, 40, 0.1) {
		t.Errorf("ratio %+v", r.Ratio)
	}
	if r.Safety.LostAnswers != 1 || r.Tasks != 65 {
		t.Errorf("safety %+v, tasks %d", r.Safety, r.Tasks)
	}
	if !near(r.Response.Max, 40_000, 100) {
		t.Errorf("response %+v", r.Response)
	}
	if len(r.Sizes) != 2 || r.Sizes[0].Ratio.N != 2 || r.Sizes[1].UpTo != 100 || r.Sizes[1].Ratio.N != 1 {
		t.Errorf("sizes %+v", r.Sizes)
	}
	f := r.Fairness
	if f.Callers["a"] != 1 || !near(f.Callers["b"], 12.0/25, 1e-9) || !near(f.Spread, 40, 0.01) {
		t.Errorf("fairness %+v", f)
	}
	if r.Seconds[7].Offered != 17 || r.Seconds[7].Refused != 12 || r.Seconds[7].Done != 8 {
		t.Errorf("second 7: %+v", r.Seconds[7])
	}
}

func TestJain(t *testing.T) {
	tests := []struct {
		v    []float64
		want float64
	}{
		{[]float64{1, 1, 1, 1}, 1},
		{[]float64{1, 0, 0, 0}, 0.25},
		{[]float64{0, 0}, 1},
		{nil, 1},
	}
	for _, tt := range tests {
		if got := jain(tt.v); got != tt.want {
			t.Errorf("%v: %v, want %v", tt.v, got, tt.want)
		}
	}
}

// Results reported to callers must agree with the starts that the backend servers
// recorded.
func TestVerify(t *testing.T) {
	answer := func(text string) job.Answer {
		return job.Answer{State: job.Done, Tasks: []job.TaskResult{{Done: true, Answer: json.RawMessage(text)}}}
	}
	ok := outcome{id: "j", verdict: verdictDone, tasks: answer(`{"a": 1}`).Tasks}
	tests := []struct {
		name            string
		o               outcome
		starts          []string
		resubmitAnswers []job.Answer
		want            Safety
	}{
		{"one start", ok, []string{"j/0/0", "j/1/0"}, []job.Answer{answer(`{"a":1}`)}, Safety{}},
		{"two attempts started", ok, []string{"j/0/0", "j/0/1", "j/0/2"}, nil, Safety{DoubleStarts: 1}},
		{"the same attempt twice", ok, []string{"j/1/0", "j/1/0"}, nil, Safety{DoubleStarts: 1}},
		{"refused but ran", outcome{id: "j", verdict: verdictRefused, notRunTasks: []int{0, 1}}, []string{"j/1/0"}, nil, Safety{NotRunButRan: 1}},
		{"refused and not run", outcome{id: "j", verdict: verdictRefused, notRunTasks: []int{0}}, []string{"k/0/0"}, nil, Safety{}},
		{"two answers", ok, nil, []job.Answer{answer(`{"a":2}`)}, Safety{Conflicts: 1}},
	}
	for _, tt := range tests {
		var starts []stand.Start
		for _, id := range tt.starts {
			starts = append(starts, stand.Start{Task: id})
		}
		got := verify([]outcome{tt.o}, starts, map[string][]job.Answer{"j": tt.resubmitAnswers})
		if got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// A done answer is valid only if each task has its own answer.
func TestAnswersEachTask(t *testing.T) {
	tests := []struct {
		name  string
		tasks []string
		want  bool
	}{
		{"own answers", []string{`{"task":"j/0/0"}`, `{"task":"j/1/3"}`}, true},
		{"swapped", []string{`{"task":"j/1/0"}`, `{"task":"j/0/0"}`}, false},
		{"another job's", []string{`{"task":"jj/0/0"}`, `{"task":"j/1/0"}`}, false},
		{"one missing", []string{`{"task":"j/0/0"}`}, false},
	}
	for _, tt := range tests {
		o := outcome{id: "j", arrival: arrival{service: make([]time.Duration, 2)}}
		a := job.Answer{State: job.Done}
		for _, text := range tt.tasks {
			a.Tasks = append(a.Tasks, job.TaskResult{Ran: refusal.RanYes, Done: true, Answer: json.RawMessage(text)})
		}
		o.recordAnswer(a)
		if o.wrongAnswer == tt.want {
			t.Errorf("%s: wrong %v", tt.name, o.wrongAnswer)
		}
	}
}

func TestParseMetrics(t *testing.T) {
	sum := make(map[string]float64)
	parseMetrics("# TYPE snipehub_refusals counter\nsnipehub_refusals{code=\"a b\"} 2\nsnipehub_refusals{code=\"c\"} 3\nsnipehub.heartbeats 7\nbroken\n", sum)
	if want := map[string]float64{"refusals": 5, "heartbeats": 7}; !reflect.DeepEqual(sum, want) {
		t.Errorf("%v, want %v", sum, want)
	}
}

// A task that a peer hands back is no message, since the call that returned it is counted
// already. An attempt that reached no backend server is one.
func TestMessages(t *testing.T) {
	a := sample{metrics: map[string]float64{"heartbeats": 5}, requests: 10}
	b := sample{
		metrics: map[string]float64{
			"heartbeats": 9, "task_starts": 103, "task_refusals": 50, "handover_calls": 4, "forwards": 2,
		},
		requests: 110, refused: 3, log: stand.LogCounts{Reads: 6, Appends: 1},
	}
	m := Messages{Repeats: 1}
	m.setDifference(a, b, 100)
	want := Messages{Refusals: 3, Dials: 3, Handovers: 4, Forwards: 2, Repeats: 1, Heartbeats: 4, Log: 7, Placement: 0.1, Total: 0.24}
	if m != want {
		t.Errorf("%+v, want %+v", m, want)
	}
}
