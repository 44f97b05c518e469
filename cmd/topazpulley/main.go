// Command topazpulley is the daemon and the operators' and callers' command
// line.
package main

import (
	"os"

	_ "topazpulley/internal/command/ignorehangup" // before what starts slowly

	"topazpulley/internal/command"
)

func main() { os.Exit(command.Run(command.ProductCommands())) }
