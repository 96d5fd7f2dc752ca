// Command simhost connects package balance to the simulator: it reads events of the simulator's wire protocol from
// standard input and writes decisions to standard output.
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
