// Command snipestand simulates the platform and backend servers for tests and trials; see
// package stand for those of snipehub's own interface and package platform/stand for the
// users' platform.
package main

import (
	"os"

	"snipehub.example/internal/program"
	platformstand "snipehub.example/platform/stand"
	"snipehub.example/stand"
)

func main() {
	cmd := stand.Command()
	cmd.Commands = append(cmd.Commands, platformstand.Command())
	os.Exit(program.Run(cmd))
}
