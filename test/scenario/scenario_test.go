// Package scenario runs scripts against separate processes: an emulated platform, a
// relay, emulated engines and daemons, each on its own 127.x address. A script is a
// testscript file in testdata; commands_test.go defines its commands.
package scenario

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"topazpulley/internal/command"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"topazpulley": func() { os.Exit(command.Run(command.ProductCommands())) },
		"topazbench":  func() { os.Exit(command.Run(command.BenchCommands())) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[fleetKey{}] = newFleet(env)
			return nil
		},
		Cmds: commands(),
	})
}
