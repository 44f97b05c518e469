package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/subcommands"

	"topazpulley/internal/client"
	"topazpulley/internal/gateway"
)

// statusCommand shows a daemon's view of the fleet.
type statusCommand struct{ remoteFlags }

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string { return "show a daemon's view of the fleet" }

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return "status [flags]\n  Shows the daemon, the members and the engines of its zone.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (s *statusCommand) SetFlags(flags *flag.FlagSet) {
	s.remoteFlags.setFlags(flags, "token", tokenVariable, "operator `token`")
}

// Execute implements subcommands.Command.
func (s *statusCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status, err := client.New(s.address, s.key).Status()
	if err != nil {
		return fail(err)
	}
	printStatus(status)
	return subcommands.ExitSuccess
}

func printStatus(status gateway.Status) {
	fmt.Printf("daemon=%s zone=%s ready=%t stopping=%t revision=%d active=%.12s cut_off=%t platform_up=%t in_flight=%d held_chunks=%d coordinates=%q\n",
		status.Daemon, status.Zone, status.Ready, status.Stopping, status.Revision, status.Active, status.CutOff, status.PlatformUp,
		status.InFlight, status.HeldChunks, status.Duties.Coordinator)
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	fmt.Fprintln(table, "MEMBER\tZONE\tSTATE")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%s\t%s\n", member.Name, member.Zone, member.State)
	}
	fmt.Fprintln(table, "\nENGINE\tSERVICE\tUP\tSTATE\tREVISION\tMODELS\tONLINE\tBATCH\tWINDOW\tSUPERVISOR")
	for _, engine := range status.Engines {
		fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%d\t%s\t%d+%d\t%d\t%d\t%s\n", engine.Name, engine.Service, engine.Up, engine.State, engine.Fence,
			strings.Join(engine.Models, ","), engine.Online, engine.Waiting, engine.Batch, engine.BatchWindow, engine.Supervisor)
	}
}
