// Command snipehubd is the dispatcher of snipehub; see package hub.
package main

import (
	"os"

	"snipehub.example/hub"
	"snipehub.example/internal/program"
)

func main() {
	os.Exit(program.Run(hub.Command()))
}
