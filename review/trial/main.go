// Command trial runs the cases of the review that are scripts. Each starts processes of the
// system with the command of the deploy file, with a store, minions and clients of its own,
// and judges what these see.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// verdict is what a case has found.
type verdict struct {
	broken  bool
	summary string
}

// trial runs a case; with trouble unset it leaves out the disruption.
type trial func(rec *record, trouble bool) (verdict, error)

var trials = map[string]trial{
	"stop":   stopTrial,
	"cancel": cancelTrial,
	"room":   roomTrial,
	"label":  labelTrial,
	"thaw":   thawTrial,
	"roll":   rollTrial,
	"late":   lateTrial,
}

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(trials[os.Args[1]], os.Args[2]))
}

func run(t trial, dir string) int {
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	v, err := t(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitNotRun
	case v.broken:
		rec.printf("BROKEN: %s", v.summary)
		fmt.Println("broken:", v.summary)
		return exitBroken
	}
	rec.printf("held: %s", v.summary)
	fmt.Println("held:", v.summary)
	return exitHeld
}

// endOnSignal ends the processes of a deployment if the case itself is interrupted.
func endOnSignal(w *world) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-c
		w.close()
		os.Exit(exitNotRun)
	}()
}
