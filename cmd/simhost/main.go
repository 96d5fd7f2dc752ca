// Command simhost runs the decisions on the simulator's wire, from standard input to standard output.
package main

import (
	"fmt"
	"os"

	"ivybank/rehearse/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
