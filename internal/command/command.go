// Package command implements the subcommands of topazpulley and topazbench, one
// file per subcommand. Run executes one of ProductCommands or BenchCommands.
//
// Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another
// operator's change or existing content, 4 overloaded or unavailable (a retry may
// succeed).
package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"topazpulley/internal/failure"
)

// Exit codes in addition to those of the subcommands library.
const (
	ExitConflict    subcommands.ExitStatus = 3
	ExitUnavailable subcommands.ExitStatus = 4
)

// group is a set of commands and its title in the help.
type group struct {
	title    string
	commands []subcommands.Command
}

// ProductCommands returns the subcommands of topazpulley.
func ProductCommands() []group {
	return []group{
		{"daemon", []subcommands.Command{&serveCommand{}, &devCommand{}}},
		{"operators", []subcommands.Command{newNested("bundle", "sign, propose, roll and withdraw bundles", bundleCommands()), newNested("quarantine", "list and lift quarantines of requests that crash backends", quarantineCommands()), &statusCommand{}}},
		{"callers", []subcommands.Command{newNested("job", "submit, watch, cancel and read batch jobs", jobCommands()), &requestCommand{}}},
		{"", []subcommands.Command{&versionCommand{}}},
	}
}

// Run executes the subcommand that the command line names and returns the exit code.
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

// helpTexts holds the help texts of a command. Commands embed it.
type helpTexts struct {
	name     string
	synopsis string
	usage    string
}

// Name implements subcommands.Command.
func (d helpTexts) Name() string { return d.name }

// Synopsis implements subcommands.Command.
func (d helpTexts) Synopsis() string { return d.synopsis }

// Usage implements subcommands.Command.
func (d helpTexts) Usage() string {
	return d.name + " " + d.usage + "\n  " + d.synopsis + ".\n\nFlags:\n"
}

// fail prints the error to standard error and returns the exit code for its kind.
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

// usageError prints a usage error and returns its exit code.
func usageError(format string, arguments ...any) subcommands.ExitStatus {
	return fail(failure.New(failure.KindInvalid, "usage", format, arguments...))
}

// remoteFlags are the flags of commands that call a daemon: its address and the
// token or API key. keyName is the name of the flag for the key.
type remoteFlags struct {
	address string
	key     string
	keyName string
}

const (
	defaultDaemonURL = "http://127.0.0.1:8080"
	tokenVariable    = "TOPAZPULLEY_OPERATOR_TOKEN"
	apiKeyVariable   = "TOPAZPULLEY_API_KEY"
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
