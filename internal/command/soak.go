package command

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/failure"
	"topazpulley/platform/platformtest/soak"
)

// maxDaemons bounds the daemons of a soak: 64 of some 45 MB each.
const maxDaemons = 64

// soakCommand harms real daemons at random and checks the promises.
type soakCommand struct {
	binary    string
	other     string
	directory string
	seed      uint64
	seeds     string
	total     time.Duration
	span      time.Duration
	daemons   int
	backends  int
	playName  string
	jobItems  int
	tries     int
}

// Name implements subcommands.Command.
func (*soakCommand) Name() string { return "soak" }

// Synopsis implements subcommands.Command.
func (*soakCommand) Synopsis() string {
	return "harm daemons as processes at random and check the promises"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [--seed N | --seeds FILE | --total DURATION] [--span DURATION] [--shrink N]\n" +
		"  Plays fresh seeds until the total is over, one seed, or the seeds of a file\n" +
		"  (one a line, a cause behind it). Exits 0 only if every promise held.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.binary, "binary", "bin/topazpulley", "`path` of the daemon's program")
	flags.StringVar(&c.other, "other-binary", "", "`path` of the daemon's program of another build, which every second start runs; empty means none")
	flags.StringVar(&c.directory, "directory", "", "`directory` for settings and logs; empty makes one and removes it if all held")
	flags.Uint64Var(&c.seed, "seed", 0, "play this `seed` once")
	flags.StringVar(&c.seeds, "seeds", "", "play the seeds of this `file`")
	flags.DurationVar(&c.total, "total", 5*time.Minute, "how long fresh seeds are played")
	flags.DurationVar(&c.span, "span", 20*time.Second, "how long faults and load of one seed last")
	flags.IntVar(&c.daemons, "daemons", 5, "`number` of daemons, 2 to 64")
	flags.IntVar(&c.backends, "backends", 0, "`number` of back ends for items; 0 means a few")
	flags.StringVar(&c.playName, "play", "", "instead of a seed's faults, jobs that are ended while the `play` goes on: calm, pause, throttle, cut-off, lost-end or standstill")
	flags.IntVar(&c.jobItems, "items", 0, "`number` of items of a play's jobs; 0 means few")
	flags.IntVar(&c.tries, "shrink", 0, "look for fewer faults that still fail, in so many `tries`")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.daemons < 2 || c.daemons > maxDaemons {
		return fail(failure.New(failure.KindInvalid, "bad_daemons", "--daemons must be 2 to %d", maxDaemons))
	}
	if !soak.Play(c.playName).IsKnown() {
		return fail(failure.New(failure.KindInvalid, "bad_play", "--play must be calm, pause, throttle, cut-off, lost-end or standstill"))
	}
	held, err := c.playAll(ctx)
	if err != nil {
		return fail(err)
	}
	if !held {
		return subcommands.ExitFailure
	}
	fmt.Println("every promise held")
	return subcommands.ExitSuccess
}

// playAll plays the seeds that the flags name and reports whether all held.
func (c *soakCommand) playAll(ctx context.Context) (bool, error) {
	if c.seed != 0 {
		return c.play(ctx, c.seed)
	}
	if c.seeds != "" {
		return c.playFile(ctx)
	}
	allHeld := true
	for end := time.Now().Add(c.total); time.Now().Before(end); {
		held, err := c.play(ctx, uint64(time.Now().UnixNano()))
		if err != nil {
			return false, err
		}
		allHeld = allHeld && held
	}
	return allHeld, nil
}

func (c *soakCommand) playFile(ctx context.Context) (bool, error) {
	file, err := os.Open(c.seeds)
	if err != nil {
		return false, failure.Wrap(err, failure.KindInvalid, "bad_seeds", "cannot read --seeds %s", c.seeds)
	}
	defer func() { _ = file.Close() }()
	allHeld := true
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var seed uint64
		if _, err := fmt.Sscan(text, &seed); err != nil {
			return false, failure.Wrap(err, failure.KindInvalid, "bad_seeds", "line %q of --seeds does not begin with a seed", text)
		}
		held, err := c.play(ctx, seed)
		if err != nil {
			return false, err
		}
		allHeld = allHeld && held
	}
	return allHeld, nil
}

// play plays one seed and prints what it found.
func (c *soakCommand) play(ctx context.Context, seed uint64) (bool, error) {
	directory := filepath.Join(c.directory, fmt.Sprint("seed-", seed))
	if c.directory == "" {
		made, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return false, failure.Wrap(err, failure.KindInternal, "soak_directory", "cannot make a directory")
		}
		directory = made
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, failure.Wrap(err, failure.KindInternal, "soak_directory", "cannot make %s", directory)
	}
	options := soak.Options{Binary: c.binary, OtherBinary: c.other, Directory: directory, Seed: seed, Span: c.span, Daemons: c.daemons, ItemBackends: c.backends, Play: soak.Play(c.playName), JobItems: c.jobItems}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return false, err
	}
	fmt.Printf("soak seed=%d span=%s faults=%d violations=%d counts=%v\n", seed, c.span, len(report.Faults), len(report.Violations), report.Counts)
	for _, note := range report.Notes {
		fmt.Println("note", note)
	}
	if len(report.Violations) == 0 {
		if c.directory == "" {
			_ = os.RemoveAll(directory)
		}
		return true, nil
	}
	printReport(report, directory)
	if c.tries > 0 {
		c.shrink(ctx, options, report.Faults)
	}
	return false, nil
}

func printReport(report soak.Report, directory string) {
	for _, violation := range report.Violations {
		fmt.Println(violation)
	}
	for _, line := range report.Lines {
		fmt.Println("log", line)
	}
	for _, fault := range report.Faults {
		fmt.Printf("fault at_ms=%d for_ms=%d kind=%s target=%d\n", fault.At.Milliseconds(), fault.For.Milliseconds(), fault.Kind, fault.Target)
	}
	fmt.Printf("logs directory=%s\n", directory)
}

// shrink prints a shorter list of faults that still breaks a promise.
func (c *soakCommand) shrink(ctx context.Context, options soak.Options, faults []soak.Fault) {
	shorter := soak.Shrink(faults, c.tries, func(left []soak.Fault) bool {
		options.Faults = append([]soak.Fault{}, left...)
		report, err := soak.Run(ctx, options)
		return err == nil && len(report.Violations) > 0
	})
	for _, fault := range shorter {
		fmt.Printf("shrunk at_ms=%d for_ms=%d kind=%s target=%d\n", fault.At.Milliseconds(), fault.For.Milliseconds(), fault.Kind, fault.Target)
	}
}
