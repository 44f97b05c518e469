package command

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"

	"topazpulley/internal/peer"
)

// Version is the release.
const Version = "0.1.0"

// versionCommand prints the version.
type versionCommand struct{}

// Name implements subcommands.Command.
func (versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (versionCommand) Usage() string {
	return "version\n  Prints the release, the peer protocol and the build.\n"
}

// SetFlags implements subcommands.Command.
func (versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	commit := "unknown"
	if info, known := debug.ReadBuildInfo(); known {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				commit = setting.Value
			}
		}
	}
	fmt.Printf("topazpulley %s peer_protocol=%d go=%s commit=%s\n", Version, peer.ProtocolVersion, runtime.Version(), commit)
	return subcommands.ExitSuccess
}
