// Command snipectl is the operators' command line of snipehub; see package operator.
package main

import (
	"os"

	"snipehub.example/internal/program"
	"snipehub.example/operator"
)

func main() {
	os.Exit(program.Run(operator.Command()))
}
