// Command topazbench runs the stand-ins, the experiments, the scale run and
// the random fault runs.
package main

import (
	"os"

	"topazpulley/internal/command"
)

func main() { os.Exit(command.Run(command.BenchCommands())) }
