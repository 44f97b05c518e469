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

// maxDaemons limits the daemons of one run; each needs about 45 MB.
const maxDaemons = 64

// soakCommand runs daemons as processes under random faults and checks their
// guarantees.
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
	return "run daemons as processes under random faults and check the promises"
}

// Usage implements subcommands.Command.
func (*soakCommand) Usage() string {
	return "soak [--seed N | --seeds FILE | --total DURATION] [--span DURATION] [--shrink N]\n" +
		"  Plays new seeds for the total time, one seed, or the seeds of a file\n" +
		"  (one per line, followed by its cause). Exits 0 only if every promise held.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (c *soakCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.binary, "binary", "bin/topazpulley", "`path` of the daemon's program")
	flags.StringVar(&c.other, "other-binary", "", "`path` of another build of the daemon's program, used for every second start; empty means none")
	flags.StringVar(&c.directory, "directory", "", "`directory` for settings and logs; empty creates one and removes it if every promise held")
	flags.Uint64Var(&c.seed, "seed", 0, "play this `seed` once")
	flags.StringVar(&c.seeds, "seeds", "", "play the seeds of this `file`")
	flags.DurationVar(&c.total, "total", 5*time.Minute, "how long fresh seeds are played")
	flags.DurationVar(&c.span, "span", 20*time.Second, "how long faults and load of one seed last")
	flags.IntVar(&c.daemons, "daemons", 0, "`number` of daemons, 2 to 64; 0 means that of the play")
	flags.IntVar(&c.backends, "backends", 0, "`number` of backends for items; 0 means a few")
	flags.StringVar(&c.playName, "play", "", "instead of a seed's faults, cancel jobs during this `play`: calm, pause, throttle, cut-off, lost-end, standstill, given-up, refusals, site, release, return, stops or departures")
	flags.IntVar(&c.jobItems, "items", 0, "`number` of items of a play's jobs; 0 means few")
	flags.IntVar(&c.tries, "shrink", 0, "search for fewer faults that still fail, in at most this many `tries`")
}

// Execute implements subcommands.Command.
func (c *soakCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.daemons == 0 {
		c.daemons = soak.Play(c.playName).DefaultDaemons()
	}
	if c.daemons < 2 || c.daemons > maxDaemons {
		return fail(failure.New(failure.KindInvalid, "bad_daemons", "--daemons must be 2 to %d", maxDaemons))
	}
	if !soak.Play(c.playName).IsKnown() {
		return fail(failure.New(failure.KindInvalid, "bad_play", "--play must be calm, pause, throttle, cut-off, lost-end, standstill, given-up, refusals, site, release, return, stops or departures"))
	}
	passed, err := c.playAll(ctx)
	if err != nil {
		return fail(err)
	}
	if !passed {
		return subcommands.ExitFailure
	}
	fmt.Println("every promise held")
	return subcommands.ExitSuccess
}

// playAll plays the seeds that the flags select. It returns true if no seed had a
// violation.
func (c *soakCommand) playAll(ctx context.Context) (bool, error) {
	if c.seed != 0 {
		return c.play(ctx, c.seed)
	}
	if c.seeds != "" {
		return c.playFile(ctx)
	}
	allPassed := true
	for end := time.Now().Add(c.total); time.Now().Before(end); {
		passed, err := c.play(ctx, uint64(time.Now().UnixNano()))
		if err != nil {
			return false, err
		}
		allPassed = allPassed && passed
	}
	return allPassed, nil
}

// playFile plays the seeds of the file --seeds. Empty lines and lines that begin
// with # are skipped.
func (c *soakCommand) playFile(ctx context.Context) (bool, error) {
	file, err := os.Open(c.seeds)
	if err != nil {
		return false, failure.Wrap(err, failure.KindInvalid, "bad_seeds", "cannot read --seeds %s", c.seeds)
	}
	defer func() { _ = file.Close() }()
	allPassed := true
	for lines := bufio.NewScanner(file); lines.Scan(); {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var seed uint64
		if _, err := fmt.Sscan(text, &seed); err != nil {
			return false, failure.Wrap(err, failure.KindInvalid, "bad_seeds", "line %q of --seeds does not begin with a seed", text)
		}
		passed, err := c.play(ctx, seed)
		if err != nil {
			return false, err
		}
		allPassed = allPassed && passed
	}
	return allPassed, nil
}

// play plays one seed and prints its report. It returns true if there was no
// violation.
func (c *soakCommand) play(ctx context.Context, seed uint64) (bool, error) {
	directory := filepath.Join(c.directory, fmt.Sprint("seed-", seed))
	if c.directory == "" {
		created, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return false, failure.Wrap(err, failure.KindInternal, "soak_directory", "cannot create a directory")
		}
		directory = created
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return false, failure.Wrap(err, failure.KindInternal, "soak_directory", "cannot create %s", directory)
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

// shrink searches for a shorter list of faults that still causes a violation and
// prints it.
func (c *soakCommand) shrink(ctx context.Context, options soak.Options, faults []soak.Fault) {
	shorter := soak.Shrink(faults, c.tries, func(remaining []soak.Fault) bool {
		options.Faults = append([]soak.Fault{}, remaining...)
		report, err := soak.Run(ctx, options)
		return err == nil && len(report.Violations) > 0
	})
	for _, fault := range shorter {
		fmt.Printf("shrunk at_ms=%d for_ms=%d kind=%s target=%d\n", fault.At.Milliseconds(), fault.For.Milliseconds(), fault.Kind, fault.Target)
	}
}
