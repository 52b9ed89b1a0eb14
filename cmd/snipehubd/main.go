// Command snipehubd is the dispatcher of snipehub; see package hub for its own
// interface, and packages platform and node for the users' platform.
package main

import (
	"os"

	"snipehub.example/hub"
	"snipehub.example/internal/program"
	"snipehub.example/platform"
)

func main() {
	cmd := hub.Command()
	cmd.Commands = append(cmd.Commands, platform.Command())
	os.Exit(program.Run(cmd))
}
