// Command drill plays one case of the review: it is the platform (store, balancer, minions),
// the clients and the operator, and starts the processes of the system as deploy/system.toml
// says. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// drills are the cases, by name. Each returns what it has found broken, nothing if the rule
// held.
var drills = map[string]func(w *world, trouble bool) (broken string, err error){
	"cancel":   cancel,
	"poison":   poison,
	"replaced": replaced,
}

func main() {
	if len(os.Args) != 3 || drills[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: drill CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(folder, 284)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		return 2
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("drill %s, trouble: %v", name, trouble)
	broken, err := drills[name](w, trouble)
	switch {
	case err != nil:
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		w.note("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	w.note("the rule held")
	fmt.Println("held")
	return 0
}

// begin starts a deployment of so many processes and 48 minions of 64 cores, and waits until
// it serves jobs.
func begin(w *world, processes int) error {
	w.configure(1, 3)
	if err := w.addMinions(48, resources{CPU: 64000, Memory: 262144}); err != nil {
		return err
	}
	for i := range processes {
		if _, err := w.addNode(zones[i%len(zones)]); err != nil {
			return err
		}
	}
	c := w.newClient(0)
	for range 40 {
		time.Sleep(500 * time.Millisecond)
		if status, _, _ := c.post(newID(), encodeSpec(50, resources{CPU: 1000, Memory: 64}), []step{{Count: 1, CPU: 1000, Memory: 64, Estimate: 50}}, 1500*time.Millisecond); status == 200 {
			time.Sleep(2 * time.Second)
			return nil
		}
	}
	return fmt.Errorf("the system serves nothing 20 s after its start")
}
