package load

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"snipehub.example/internal/program"
	"snipehub.example/settings"
)

// TestMain lets the test binary act as snipeload, which starts itself for each process of
// a deployment.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && slices.Contains([]string{"snipehubd", "snipestand"}, os.Args[1]) {
		os.Exit(program.Run(Command()))
	}
	os.Exit(m.Run())
}

// Runs real processes with a backend server that starts to fail every task, and jobs that
// are submitted again in flight to the other dispatcher: every job must have a final
// answer that agrees with the backend servers' records.
func TestRun(t *testing.T) {
	d, err := demoDeployment(2, 3, 16)
	if err != nil {
		t.Fatal(err)
	}
	s := Scenario{
		Name: "test", JobTasks: Range{Min: 1, Max: 4}, Phases: []Phase{newPhase(1500*time.Millisecond, 0.2)},
		ServiceTimes: ServiceTimes{Min: settings.Duration(20 * time.Millisecond), Max: settings.Duration(200 * time.Millisecond)},
		Actions:      []Action{newAction(500*time.Millisecond, ResubmitWave, 1), newAction(time.Second, FailWorker, 0)},
	}
	r, err := Run(t.Context(), d, s, Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	j := r.Jobs
	if r.Safety.Violated() || j.Offered == 0 || j.Done == 0 || j.Done+j.Failed+j.Refused+j.Unknown != j.Offered {
		t.Errorf("safety %+v, jobs %+v", r.Safety, j)
	}
	if r.Messages.Repeats == 0 {
		t.Error("nothing was submitted again")
	}
}

// Guards against two simultaneous runs of a deployment on a machine: the second must be
// refused, since it would measure the processes of the first.
func TestSecondRunIsRefused(t *testing.T) {
	d, err := demoDeployment(1, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	first, err := Deploy(t.Context(), d)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := Deploy(t.Context(), d)
	if !errors.Is(err, ErrInUse) {
		t.Errorf("the second run: %v", err)
	}
	if err == nil {
		second.Close()
	}
}
