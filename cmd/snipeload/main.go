// Command snipeload is the load tool of snipehub; see package load.
package main

import (
	"os"

	"snipehub.example/internal/program"
	"snipehub.example/load"
)

func main() {
	os.Exit(program.Run(load.Command()))
}
