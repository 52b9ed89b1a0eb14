package load

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

func TestScenarios(t *testing.T) {
	last := 0
	names := make(map[string]bool)
	for _, s := range Scenarios() {
		if err := s.validate(); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
		if s.Number <= last || names[s.Name] || s.Title == "" || s.Since == "" {
			t.Errorf("%d %s: the number does not follow %d, the name stands twice, or a text is missing", s.Number, s.Name, last)
		}
		last, names[s.Name] = s.Number, true
	}
}

// The deployments of both users must be as they specified them.
func TestExamples(t *testing.T) {
	tests := []struct {
		name           string
		effectiveCores float64
	}{
		{"lakeshore", 48 * 64},
		{"teranga", 48 * 32},
	}
	for _, tt := range tests {
		d, err := ReadDeployment(filepath.Join("..", "examples", tt.name, "deployment.toml"))
		if err != nil {
			t.Fatal(err)
		}
		if d.effectiveCores() != tt.effectiveCores || d.Dispatchers != 48 || len(d.Workers) != 48 || d.cfg.Dispatch.Connections != 64 || d.cfg.Dispatch.JobSlots != 8 {
			t.Errorf("%s: %v cores, %d dispatchers, %d workers", tt.name, d.effectiveCores(), d.Dispatchers, len(d.Workers))
		}
		seen := make(map[string]bool)
		for _, p := range d.endpoints() {
			seen[p.callerAddr.String()], seen[p.peerAddr.String()] = true, true
		}
		if len(seen) != 96 {
			t.Errorf("%s: %d addresses of dispatchers, want 96", tt.name, len(seen))
		}
	}
}

// The plan must be the same each time for a seed, and offer the load of its phases.
func TestPlan(t *testing.T) {
	d, err := ReadDeployment("../examples/lakeshore/deployment.toml")
	if err != nil {
		t.Fatal(err)
	}
	s, err := FindScenario("skew")
	if err != nil {
		t.Fatal(err)
	}
	s.Phases = []Phase{newPhase(60*time.Second, 0.5)}
	a, err := plan(s, d, 1)
	if err != nil {
		t.Fatal(err)
	}
	b, _ := plan(s, d, 1)
	c, _ := plan(s, d, 2)
	if !reflect.DeepEqual(a, b) || reflect.DeepEqual(a, c) {
		t.Error("the plan does not follow from its seed")
	}
	var work time.Duration
	toFirst := 0
	for _, x := range a {
		if x.dispatcher == 0 {
			toFirst++
		}
		for _, d := range x.service {
			work += d
		}
	}
	if load := work.Seconds() / 60 / d.effectiveCores(); !near(load, 0.5, 0.02) {
		t.Errorf("offered load %.3f, want 0.5", load)
	}
	if share := float64(toFirst) / float64(len(a)); !near(share, 0.5+0.5/48, 0.03) {
		t.Errorf("share of the first dispatcher %.3f", share)
	}
	s.GreedyShare = 0.9
	greedy, _ := plan(s, d, 1)
	fromGreedy := 0
	for _, x := range greedy {
		if x.caller == 0 {
			fromGreedy++
		}
	}
	if share := float64(fromGreedy) / float64(len(greedy)); !near(share, 0.9, 0.02) {
		t.Errorf("share of the greedy caller %.3f", share)
	}
	s.Phases = []Phase{newPhase(maxRunDuration, 5)}
	s.ServiceTimes = ServiceTimes{Min: 1000, Max: 1000}
	if _, err := plan(s, d, 1); err == nil {
		t.Error("a plan over the bound on tasks was accepted")
	}
}

func TestRange(t *testing.T) {
	r := Range{Min: 1, Max: 100}
	if m := r.mean(); !near(m, 21.19, 0.01) {
		t.Errorf("mean %v", m)
	}
	if m := (Range{Min: 5, Max: 5}).mean(); m != 5 {
		t.Errorf("mean of one size %v", m)
	}
}

// A user's scenario file is read with the defaults of the built-in scenarios; an unknown
// key or a value out of range is an error.
func TestScenarioFile(t *testing.T) {
	s, err := FindScenario("../examples/scenarios/morning.toml")
	if err != nil || s.length() != 12*time.Second || s.Actions[0].Kind != SlowWorker {
		t.Errorf("%+v, %v", s, err)
	}
	tests := []struct{ name, text string }{
		{"unknown key", "name = \"x\"\nload = 3\nphases = [{for = \"1s\", load = 0.5}]"},
		{"too long", "name = \"x\"\nphases = [{for = \"1h\", load = 0.5}]"},
		{"no phases", "name = \"x\""},
		{"load out of range", "name = \"x\"\nphases = [{for = \"1s\", load = 50}]"},
		{"empty sizes", "name = \"x\"\nphases = [{for = \"1s\", load = 1}]\njob_tasks = {min = 3, max = 2}"},
	}
	for _, tt := range tests {
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := FindScenario(path); err == nil {
			t.Errorf("%s: accepted", tt.name)
		}
	}
	if _, err := FindScenario("nowhere"); err == nil {
		t.Error("an unknown name was accepted")
	}
}
