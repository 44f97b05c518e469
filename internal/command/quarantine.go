package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/client"
	"topazpulley/internal/quarantine"
)

// quarantineCommands returns the subcommands of quarantine.
func quarantineCommands() []subcommands.Command {
	return []subcommands.Command{&quarantineListCommand{}, &quarantineLiftCommand{}}
}

const quarantineKeyHelp = "operator `token`; with store_address the cluster key"

// quarantineListCommand lists the quarantined requests.
type quarantineListCommand struct{ remoteFlags }

// Name implements subcommands.Command.
func (*quarantineListCommand) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*quarantineListCommand) Synopsis() string { return "list the requests that are quarantined" }

// Usage implements subcommands.Command.
func (*quarantineListCommand) Usage() string {
	return "list [flags]\n  Lists the requests that crashed backends. With store_address, call the metrics address.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (q *quarantineListCommand) SetFlags(flags *flag.FlagSet) {
	q.remoteFlags.setFlags(flags, "token", tokenVariable, quarantineKeyHelp)
}

// Execute implements subcommands.Command.
func (q *quarantineListCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	listing, err := client.New(q.address, q.key).Quarantined()
	if err != nil {
		return fail(err)
	}
	printQuarantined(listing)
	return subcommands.ExitSuccess
}

func printQuarantined(listing quarantine.Listing) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	fmt.Fprintln(table, "KIND\tFINGERPRINT\tSINCE\tUNTIL\tBACKENDS")
	for _, entry := range listing.Quarantined {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", entry.Kind, entry.Fingerprint, entry.Since.Format(time.RFC3339), entry.Until.Format(time.RFC3339), strings.Join(entry.Backends, ","))
	}
}

// quarantineLiftCommand lifts one quarantine on all daemons.
type quarantineLiftCommand struct{ remoteFlags }

// Name implements subcommands.Command.
func (*quarantineLiftCommand) Name() string { return "lift" }

// Synopsis implements subcommands.Command.
func (*quarantineLiftCommand) Synopsis() string { return "allow a quarantined request to run again" }

// Usage implements subcommands.Command.
func (*quarantineLiftCommand) Usage() string {
	return "lift [flags] FINGERPRINT\n  Deletes the recorded crashes of a request on all daemons.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (q *quarantineLiftCommand) SetFlags(flags *flag.FlagSet) {
	q.remoteFlags.setFlags(flags, "token", tokenVariable, quarantineKeyHelp)
}

// Execute implements subcommands.Command.
func (q *quarantineLiftCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 1 {
		fmt.Fprint(os.Stderr, q.Usage())
		return subcommands.ExitUsageError
	}
	if err := client.New(q.address, q.key).LiftQuarantine(flags.Arg(0)); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
