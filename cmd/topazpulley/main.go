// Command topazpulley is the daemon and the operators' and callers' command
// line.
package main

import (
	"os"

	"topazpulley/internal/command"
)

func main() { os.Exit(command.Run(command.ProductCommands())) }
