// Command rig plays one case of the review: it starts processes of the system with stand-ins
// for the platform, the minions and the clients, on loopback addresses, and checks the users'
// rules from what these see.
//
// It exits with 0 if the rules held, 1 if one was broken, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// play is a case: it returns the layout of its deployment, and what happens there. trouble is
// unset if the disruption is to be left out.
type play struct {
	layout layout
	run    func(w *world, trouble bool) error
}

var plays = map[string]play{
	"room":   roomPlay,
	"copy":   copyPlay,
	"lookup": lookupPlay,
	"spread": spreadPlay,
	"pause":  pausePlay,
	"mix":    mixPlay,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	program := flag.String("program", "target/snipehubd", "the program of the system")
	trouble := flag.Bool("trouble", true, "whether to play the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	p, ok := plays[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "rig: unknown case %q\n", *name)
		return exitNotRun
	}
	path, err := filepath.Abs(*program)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	rec, err := newRecorder(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	defer func() { _ = rec.close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitNotRun
	}
	if *keep {
		fmt.Println("logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	return result(rec, playIn(rec, path, dir, p, *trouble))
}

// playIn plays a case with a new deployment.
func playIn(rec *recorder, program, dir string, p play, trouble bool) error {
	w, err := newWorld(rec, program, dir, p.layout)
	defer w.close()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	played := make(chan error, 1)
	go func() { played <- p.run(w, trouble) }()
	select {
	case err = <-played:
	case <-ctx.Done():
		return ctx.Err()
	}
	w.monitor.finish()
	for _, line := range w.panics() {
		rec.breaks("PANIC", "%.300s", line)
	}
	return err
}

func result(rec *recorder, err error) int {
	for _, rule := range rec.rules() {
		fmt.Printf("%s broken %d times\n", rule, rec.count(rule))
	}
	switch {
	case err != nil:
		rec.log("not run: %v", err)
		fmt.Fprintln(os.Stderr, "rig: not run:", err)
		return exitNotRun
	case len(rec.rules()) > 0:
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
