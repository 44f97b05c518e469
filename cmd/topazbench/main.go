// Command topazbench runs the emulators, the experiments and the random fault
// runs.
package main

import (
	"os"

	"topazpulley/internal/command"
)

func main() { os.Exit(command.Run(command.BenchCommands())) }
