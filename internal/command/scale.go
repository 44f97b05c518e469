package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/scale"
)

// scaleCommand measures the control plane at size.
type scaleCommand struct {
	config   scale.Config
	real     int
	loopback bool
	span     time.Duration
}

// Sizes of the users' aim.
const (
	aimDaemons = 410
	aimEngines = 640
	aimZones   = 7
	aimRegions = 3
)

// Name implements subcommands.Command.
func (*scaleCommand) Name() string { return "scale" }

// Synopsis implements subcommands.Command.
func (*scaleCommand) Synopsis() string { return "measure the control plane with hollow daemons" }

// Usage implements subcommands.Command.
func (*scaleCommand) Usage() string {
	return "scale [--loopback] [flags]\n  Runs hollow daemons on an in-memory network in virtual time, or over real loopback sockets, and stops by itself.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (s *scaleCommand) SetFlags(flags *flag.FlagSet) {
	flags.IntVar(&s.config.Daemons, "daemons", aimDaemons, "`number` of hollow daemons")
	flags.IntVar(&s.config.Engines, "engines", aimEngines, "`number` of engines")
	flags.IntVar(&s.config.Zones, "zones", aimZones, "`number` of zones")
	flags.IntVar(&s.config.Regions, "regions", aimRegions, "`number` of regions")
	flags.Uint64Var(&s.config.Seed, "seed", 1, "random `seed`")
	flags.BoolVar(&s.config.Short, "short", false, "leave out the compressed day")
	flags.BoolVar(&s.loopback, "loopback", false, "use real UDP and TCP on loopback")
	flags.IntVar(&s.real, "real", 2, "`number` of real daemons beside the hollow ones, with --loopback")
	flags.DurationVar(&s.span, "span", 30*time.Second, "length of the steady state, with --loopback")
}

// Execute implements subcommands.Command.
func (s *scaleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	started := time.Now()
	fmt.Printf("scale daemons=%d engines=%d zones=%d regions=%d seed=%d loopback=%t real=%d cores=%d go=%s\n",
		s.config.Daemons, s.config.Engines, s.config.Zones, s.config.Regions, s.config.Seed, s.loopback, s.real, runtime.NumCPU(), runtime.Version())
	if s.loopback {
		if err := scale.RunLoopback(scale.LoopbackConfig{Topology: s.config.Topology, Real: s.real, Span: s.span}, os.Stdout); err != nil {
			return fail(err)
		}
	} else {
		scale.Run(s.config, os.Stdout)
	}
	fmt.Printf("elapsed=%s\n", time.Since(started).Round(time.Millisecond))
	return subcommands.ExitSuccess
}
