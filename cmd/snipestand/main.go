// Command snipestand is the stand-ins of snipehub; see package stand.
package main

import (
	"os"

	"snipehub.example/internal/program"
	"snipehub.example/stand"
)

func main() {
	os.Exit(program.Run(stand.Command()))
}
