package command

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"topazpulley/internal/daemon"
	"topazpulley/internal/failure"
	"topazpulley/internal/settings"
	"topazpulley/internal/telemetry"
	"topazpulley/platform"
)

// serveCommand runs one daemon.
type serveCommand struct {
	config   string
	check    bool
	verbose  bool
	override settings.Settings
}

// Name implements subcommands.Command.
func (*serveCommand) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serveCommand) Synopsis() string { return "run one daemon" }

// Usage implements subcommands.Command.
func (*serveCommand) Usage() string {
	return "serve --config FILE [flags]\n  Runs one daemon until SIGTERM or SIGINT; a second signal stops it immediately.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (s *serveCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&s.config, "config", "", "settings `file` (TOML)")
	flags.BoolVar(&s.check, "check", false, "validate the settings and exit")
	flags.BoolVar(&s.verbose, "verbose", false, "log debugging events")
	flags.StringVar(&s.override.Name, "name", "", "override the setting name")
	flags.StringVar(&s.override.Zone, "zone", "", "override the setting zone")
	flags.StringVar(&s.override.HTTPAddress, "http-address", "", "override the setting http_address")
	flags.StringVar(&s.override.PeerAddress, "peer-address", "", "override the setting peer_address")
	flags.StringVar(&s.override.AdvertiseAddress, "advertise-address", "", "override the setting advertise_address")
	flags.StringVar(&s.override.PlatformURL, "platform-url", "", "override the setting platform_url")
}

// Execute implements subcommands.Command.
func (s *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	process, err := s.load()
	if err != nil {
		return fail(err)
	}
	if s.check {
		fmt.Println("settings are valid")
		return subcommands.ExitSuccess
	}
	if process.StoreAddress != "" {
		if err := platform.Serve(process, s.load); err != nil {
			return fail(err)
		}
		return subcommands.ExitSuccess
	}
	level := slog.LevelInfo
	if s.verbose {
		level = slog.LevelDebug
	}
	log := telemetry.NewLogger(os.Stderr, level, process.Name)
	if err := runDaemon(daemon.New(process, daemon.Options{}, log), log); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// load reads the settings file, applies the overrides and validates the result.
func (s *serveCommand) load() (settings.Settings, error) {
	if s.config == "" {
		return settings.Settings{}, failure.New(failure.KindInvalid, "usage", "give --config FILE")
	}
	process, err := settings.Load(s.config)
	if err != nil {
		return process, err
	}
	overrides := []struct{ target, value *string }{
		{&process.Name, &s.override.Name},
		{&process.Zone, &s.override.Zone},
		{&process.HTTPAddress, &s.override.HTTPAddress},
		{&process.PeerAddress, &s.override.PeerAddress},
		{&process.AdvertiseAddress, &s.override.AdvertiseAddress},
		{&process.PlatformURL, &s.override.PlatformURL},
	}
	for _, each := range overrides {
		if *each.value != "" {
			*each.target = *each.value
		}
	}
	return process, process.Validate()
}

// runDaemon runs a daemon until SIGTERM or SIGINT. The first signal stops it
// gracefully, a second one immediately.
func runDaemon(running *daemon.Daemon, log *slog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := running.Start(); err != nil {
		return err
	}
	<-signals
	stopped := make(chan error, 1)
	go func() { stopped <- running.Stop() }()
	select {
	case err := <-stopped:
		return err
	case <-signals:
		log.Warn("daemon_killed")
		return running.Kill()
	}
}
