// Command topazpulley runs the daemon and the commands for operators and callers.
package main

import (
	"os"

	_ "topazpulley/internal/command/ignorehangup" // before packages that initialize slowly

	"topazpulley/internal/command"
)

func main() { os.Exit(command.Run(command.ProductCommands())) }
