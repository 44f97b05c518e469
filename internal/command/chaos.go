package command

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/chaos"
	"topazpulley/internal/telemetry"
)

// chaosCommand runs a deployment in one process under faults drawn from a seed and
// checks its guarantees.
type chaosCommand struct {
	seed    uint64
	span    time.Duration
	verbose bool
}

// Name implements subcommands.Command.
func (*chaosCommand) Name() string { return "chaos" }

// Synopsis implements subcommands.Command.
func (*chaosCommand) Synopsis() string { return "run under random faults and check the promises" }

// Usage implements subcommands.Command.
func (*chaosCommand) Usage() string {
	return "chaos [--seed N] [--span DURATION]\n  Exits 0 only if every promise held. Repeat a run with its seed; the faults are the same, their timing is approximate.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (c *chaosCommand) SetFlags(flags *flag.FlagSet) {
	flags.Uint64Var(&c.seed, "seed", 0, "random `seed`; 0 chooses one")
	flags.DurationVar(&c.span, "span", 30*time.Second, "how long faults are drawn")
	flags.BoolVar(&c.verbose, "verbose", false, "log the daemons' events to standard error")
}

// Execute implements subcommands.Command.
func (c *chaosCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.seed == 0 {
		c.seed = uint64(time.Now().UnixNano())
	}
	log := slog.New(slog.DiscardHandler)
	if c.verbose {
		log = telemetry.NewLogger(os.Stderr, slog.LevelInfo, "chaos")
	}
	fmt.Printf("chaos seed=%d span=%s\n", c.seed, c.span)
	summary, err := chaos.Run(chaos.Config{Seed: c.seed, Span: c.span, Log: log}, os.Stdout)
	fmt.Printf("summary %+v\n", summary)
	if err != nil {
		return fail(err)
	}
	fmt.Println("every promise held")
	return subcommands.ExitSuccess
}
