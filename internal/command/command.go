// Package command holds the subcommands of topazpulley and topazbench, one file
// a subcommand.
//
// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict (another operator
// or another content came first), 4 refused or unavailable, where trying again
// later may help.
package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"topazpulley/internal/failure"
)

// Exit codes beyond those of the subcommands library.
const (
	ExitConflict    subcommands.ExitStatus = 3
	ExitUnavailable subcommands.ExitStatus = 4
)

// group is a set of commands with the title it has in the help.
type group struct {
	title    string
	commands []subcommands.Command
}

// ProductCommands returns the subcommands of topazpulley.
func ProductCommands() []group {
	return []group{
		{"daemon", []subcommands.Command{&serveCommand{}, &devCommand{}}},
		{"operators", []subcommands.Command{newNested("bundle", "sign, propose, roll and withdraw bundles", bundleCommands()), newNested("quarantine", "list and lift quarantines of requests that end back ends", quarantineCommands()), &statusCommand{}}},
		{"callers", []subcommands.Command{newNested("job", "submit, watch, cancel and read batch jobs", jobCommands()), &requestCommand{}}},
		{"", []subcommands.Command{&versionCommand{}}},
	}
}

// Run executes the subcommand named by the arguments and returns the exit code.
func Run(groups []group) int {
	commander := subcommands.NewCommander(flag.CommandLine, os.Args[0])
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	for _, each := range groups {
		for _, registered := range each.commands {
			commander.Register(registered, each.title)
		}
	}
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// nestedCommand is a command with subcommands of its own.
type nestedCommand struct {
	name     string
	synopsis string
	commands []subcommands.Command
	flags    *flag.FlagSet
}

func newNested(name, synopsis string, commands []subcommands.Command) *nestedCommand {
	return &nestedCommand{name: name, synopsis: synopsis, commands: commands}
}

// Name implements subcommands.Command.
func (n *nestedCommand) Name() string { return n.name }

// Synopsis implements subcommands.Command.
func (n *nestedCommand) Synopsis() string { return n.synopsis }

// Usage implements subcommands.Command.
func (n *nestedCommand) Usage() string {
	usage := n.name + " <subcommand> [flags]\n  " + n.synopsis + "\n\nSubcommands:\n"
	for _, each := range n.commands {
		usage += fmt.Sprintf("  %-10s %s\n", each.Name(), each.Synopsis())
	}
	return usage
}

// SetFlags implements subcommands.Command.
func (n *nestedCommand) SetFlags(flags *flag.FlagSet) { n.flags = flags }

// Execute implements subcommands.Command.
func (n *nestedCommand) Execute(ctx context.Context, flags *flag.FlagSet, arguments ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(flags, n.name)
	commander.Register(commander.HelpCommand(), "")
	for _, each := range n.commands {
		commander.Register(each, "")
	}
	return commander.Execute(ctx, arguments...)
}

// described carries the texts that every command has.
type described struct {
	name     string
	synopsis string
	usage    string
}

// Name implements subcommands.Command.
func (d described) Name() string { return d.name }

// Synopsis implements subcommands.Command.
func (d described) Synopsis() string { return d.synopsis }

// Usage implements subcommands.Command.
func (d described) Usage() string {
	return d.name + " " + d.usage + "\n  " + d.synopsis + ".\n\nFlags:\n"
}

// fail prints a failure and returns the exit code of its kind.
func fail(err error) subcommands.ExitStatus {
	typed := failure.From(err)
	fmt.Fprintf(os.Stderr, "error kind=%s code=%s not_run=%t message=%q\n", typed.Kind, typed.Code, typed.NotRun, typed.Message)
	if typed.Kind == failure.KindInternal {
		fmt.Fprintf(os.Stderr, "cause=%q\n", typed.Error())
	}
	switch typed.Kind {
	case failure.KindConflict:
		return ExitConflict
	case failure.KindUnavailable, failure.KindOverloaded:
		return ExitUnavailable
	case failure.KindInvalid, failure.KindTooLarge:
		return subcommands.ExitUsageError
	}
	return subcommands.ExitFailure
}

// usageError reports a wrong call.
func usageError(format string, arguments ...any) subcommands.ExitStatus {
	return fail(failure.New(failure.KindInvalid, "usage", format, arguments...))
}

// remoteFlags name the daemon and the key of commands that call one.
type remoteFlags struct {
	address string
	key     string
	keyName string
}

const (
	defaultDaemonURL = "http://127.0.0.1:8080"
	environmentToken = "TOPAZPULLEY_OPERATOR_TOKEN"
	environmentKey   = "TOPAZPULLEY_API_KEY"
)

func (r *remoteFlags) setFlags(flags *flag.FlagSet, keyFlag, environment, help string) {
	flags.StringVar(&r.address, "daemon", defaultDaemonURL, "base `URL` of any daemon")
	flags.StringVar(&r.key, keyFlag, os.Getenv(environment), help+" (default from $"+environment+")")
	r.keyName = keyFlag
}

func readFile(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInvalid, "unreadable_file", "cannot read %s", path)
	}
	return content, nil
}

func writeFile(path string, content []byte, mode os.FileMode) error {
	if err := os.WriteFile(path, content, mode); err != nil {
		return failure.Wrap(err, failure.KindInvalid, "unwritable_file", "cannot write %s", path)
	}
	return nil
}
