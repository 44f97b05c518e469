package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/storage"
)

type script = testscript.TestScript

// commands returns the commands of the scripts; docs/INVARIANTS.md lists the scripts.
func commands() map[string]func(ts *script, neg bool, args []string) {
	table := map[string]func(f *fleet, args []string) error{
		// fleet ZONES DAEMONS-PER-ZONE ENGINES PLAIN TIME-SCALE
		"fleet": func(f *fleet, args []string) error {
			scale, err := strconv.ParseFloat(args[4], 64)
			if err != nil {
				return err
			}
			if err := f.start(strings.Split(args[0], ","), parseNumber(args[1]), parseNumber(args[2]), parseNumber(args[3]), scale); err != nil {
				return err
			}
			revision, err := f.roll(f.daemons[0].name, "1")
			if err != nil {
				return err
			}
			return f.awaitServing(revision, f.names())
		},
		"crash":  func(f *fleet, args []string) error { return f.end(args[0], syscall.SIGKILL) },
		"stop":   func(f *fleet, args []string) error { return f.end(args[0], syscall.SIGTERM) },
		"freeze": func(f *fleet, args []string) error { return f.signal(args[0], syscall.SIGSTOP) },
		"thaw":   func(f *fleet, args []string) error { return f.signal(args[0], syscall.SIGCONT) },
		// restart NAME [noready]
		"restart": func(f *fleet, args []string) error {
			if err := f.restart(args[0]); err != nil || len(args) > 1 {
				return err
			}
			return waitHTTP("http://" + f.spec(args[0]).http + "/readyz")
		},
		"ready": func(f *fleet, args []string) error { return waitHTTP("http://" + f.spec(args[0]).http + "/readyz") },
		// notready NAME: the daemon answers but is not ready
		"notready": func(f *fleet, args []string) error {
			time.Sleep(3 * time.Second)
			status, err := f.operatorAt(args[0]).Status()
			if err == nil && status.Ready {
				return fmt.Errorf("%s is ready with revision %d", args[0], status.Revision)
			}
			return err
		},
		"platform": setPlatform,
		// engine NAME FAULTS-JSON
		"engine": func(f *fleet, args []string) error {
			faults := emulator.EngineFaults{}
			if err := json.Unmarshal([]byte(args[1]), &faults); err != nil {
				return err
			}
			for _, name := range f.engines {
				if name == args[0] || (args[0] == "all" && strings.HasPrefix(name, "assistant")) {
					if err := put(f.engineControl()+emulator.PathEngineFaults+"?name="+name, faults); err != nil {
						return err
					}
				}
			}
			return nil
		},
		"leave": leaveMachine,
		// cut FROM:TO,...: without arguments, removes all cuts
		"cut": func(f *fleet, args []string) error {
			cuts := []emulator.Cut{}
			if len(args) > 0 {
				for _, pair := range strings.Split(args[0], ",") {
					from, to, _ := strings.Cut(pair, ":")
					cuts = append(cuts, emulator.Cut{From: from, To: to})
				}
			}
			return put(f.relayControl()+emulator.PathCuts, cuts)
		},
		// roll DAEMON VERSION
		"roll": func(f *fleet, args []string) error {
			_, err := f.roll(args[0], args[1])
			return err
		},
		// serving REVISION DAEMON...
		"serving": func(f *fleet, args []string) error {
			names := args[1:]
			if names[0] == "all" {
				names = f.names()
			}
			return f.awaitServing(int64(parseNumber(args[0])), names)
		},
		// revision DAEMON NUMBER: the daemon serves exactly this revision
		"revision": func(f *fleet, args []string) error {
			status, err := f.operatorAt(args[0]).Status()
			if err == nil && status.Revision != int64(parseNumber(args[1])) {
				return fmt.Errorf("%s serves revision %d", args[0], status.Revision)
			}
			return err
		},
		"race":     raceOperators,
		"submit":   submitJob,
		"progress": awaitProgress,
		"await":    awaitJob,
		"once":     checkOnce,
		"cancel":   cancelJob,
		"quiet":    checkQuiet,
		"readable": checkReadable,
		"ask":      ask,
		"askonce":  askOnce,
		"diesonce": crashOnce,
		"plain":    askPlain,
		"load":     loadCommand,
		"members": func(f *fleet, args []string) error {
			return poll(args[0]+" to see "+args[1]+" members", func() bool {
				status, err := f.operatorAt(args[0]).Status()
				return err == nil && len(status.Members) == parseNumber(args[1])
			})
		},
		"nowork": checkNoWork,
		"sleep": func(_ *fleet, args []string) error {
			pause, err := time.ParseDuration(args[0])
			time.Sleep(pause)
			return err
		},
	}
	registered := map[string]func(ts *script, neg bool, args []string){}
	for name, run := range table {
		registered[name] = func(ts *script, neg bool, args []string) {
			err := run(ts.Value(fleetKey{}).(*fleet), args)
			if neg && err == nil {
				ts.Fatalf("%s %s succeeded", name, strings.Join(args, " "))
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			if neg {
				ts.Logf("failed as expected: %v", err)
			}
		}
	}
	return registered
}

func parseNumber(text string) int {
	parsed, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return parsed
}

// setPlatform: platform up | down | slow DURATION | lose SHARE | limit OPS
func setPlatform(f *fleet, args []string) error {
	faults := emulator.PlatformFaults{}
	switch args[0] {
	case "down":
		faults.Down = true
	case "slow":
		if err := faults.Latency.UnmarshalText([]byte(args[1])); err != nil {
			return err
		}
	case "lose":
		faults.LoseAnswerShare, _ = strconv.ParseFloat(args[1], 64)
	case "limit":
		faults.OperationsPerSecond, _ = strconv.ParseFloat(args[1], 64)
	}
	return put(f.platformURL()+emulator.PathPlatformFaults, faults)
}

func leaveMachine(f *fleet, args []string) error {
	machines, err := storage.NewHTTPClient(f.platformURL()).List(context.Background())
	if err != nil {
		return err
	}
	for _, machine := range machines {
		if machine.Name == args[0] {
			machine.State = storage.MachineLeaving
			return put(f.platformURL()+emulator.PathPlatformMachine, machine)
		}
	}
	return fmt.Errorf("no machine %s", args[0])
}

// checkNoWork: nowork ENGINE: the engine starts no request while online requests are served.
func checkNoWork(f *fleet, args []string) error {
	count := func() (int, error) {
		entries, err := f.ledger()
		total := 0
		for _, entry := range entries {
			if entry.Engine == args[0] {
				total++
			}
		}
		return total, err
	}
	before, err := count()
	if err != nil {
		return err
	}
	for range 3 {
		if err := ask(f, []string{f.daemons[0].name, "20", "3"}); err != nil {
			return err
		}
	}
	after, err := count()
	if err == nil && after != before {
		err = fmt.Errorf("%s started %d more requests", args[0], after-before)
	}
	return err
}

// raceOperators: race DAEMON DAEMON: two operators roll with the same base; one
// succeeds, the other gets a conflict that names the first.
func raceOperators(f *fleet, args []string) error {
	history, err := f.operatorAt(args[0]).History()
	if err != nil {
		return err
	}
	head := history[0]
	outcomes := make(chan error, 2)
	for index := range 2 {
		go func() {
			_, err := f.operatorAt(args[index]).Change(gateway.ChangeRequest{
				Kind: "roll", Digest: head.Active, Operator: fmt.Sprintf("operator%d", index), Base: head.Number,
			})
			outcomes <- err
		}()
	}
	conflicts := 0
	for range 2 {
		if err := <-outcomes; failure.HasCode(err, "revision_overtaken") && strings.Contains(err.Error(), "operator") {
			conflicts++
		} else if err != nil {
			return err
		}
	}
	if conflicts != 1 {
		return fmt.Errorf("%d of 2 racing operators got a conflict", conflicts)
	}
	return nil
}
