package command

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/experiment"
	"topazpulley/internal/failure"
)

// experimentCommand measures policies on an emulated deployment.
type experimentCommand struct {
	config   experiment.Config
	policies string
	out      string
}

// Name implements subcommands.Command.
func (*experimentCommand) Name() string { return "experiment" }

// Synopsis implements subcommands.Command.
func (*experimentCommand) Synopsis() string { return "measure policies on a deployment" }

// Usage implements subcommands.Command.
func (*experimentCommand) Usage() string {
	return "experiment --deployment mwangaza|palermo [flags]\n  Prints a table and writes JSON and a plot.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (e *experimentCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&e.config.Deployment, "deployment", "palermo", "`deployment`: mwangaza or palermo")
	flags.StringVar(&e.policies, "policy", "full,report_only,round_robin,no_hints,batch_ungated,batch_idle_only", "comma-separated `policies`")
	flags.IntVar(&e.config.Seeds, "seeds", 1, "`number` of seeds")
	flags.Uint64Var(&e.config.FirstSeed, "seed", 1, "first `seed`")
	flags.DurationVar(&e.config.Span, "span", 20*time.Second, "length of each measured phase")
	flags.IntVar(&e.config.Window, "window", 0, "batch_window_max instead of the deployment's")
	flags.IntVar(&e.config.Guard, "guard", 0, "batch_guard instead of the deployment's")
	flags.StringVar(&e.out, "out", "out", "`directory` for JSON and plot")
}

// Execute implements subcommands.Command.
func (e *experimentCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	e.config.Policies = strings.Split(e.policies, ",")
	report, err := experiment.Run(e.config, os.Stdout)
	if err != nil {
		return fail(err)
	}
	report.WriteTable(os.Stdout)
	if err := e.write(report); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (e *experimentCommand) write(report experiment.Report) error {
	if err := os.MkdirAll(e.out, 0o755); err != nil {
		return failure.Wrap(err, failure.KindInvalid, "unwritable_directory", "cannot create %s", e.out)
	}
	encoded, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "encode", "cannot encode the report")
	}
	base := filepath.Join(e.out, report.Deployment)
	if err := writeFile(base+".json", encoded, 0o644); err != nil {
		return err
	}
	if err := report.WritePlot(base + ".svg"); err != nil {
		return err
	}
	fmt.Printf("written=%s.json,%s.svg\n", base, base)
	return nil
}
