// Command snipestand serves stand-ins for tests and trials; see package stand for
// those of snipehub's own interface and package platform/stand for the platform.
package main

import (
	"os"

	"snipehub.example/internal/program"
	leased "snipehub.example/platform/stand"
	"snipehub.example/stand"
)

func main() {
	cmd := stand.Command()
	cmd.Commands = append(cmd.Commands, leased.Command())
	os.Exit(program.Run(cmd))
}
