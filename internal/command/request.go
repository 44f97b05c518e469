package command

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/client"
	"topazpulley/internal/gateway"
)

// requestCommand sends one online request and streams its answer.
type requestCommand struct {
	remoteFlags
	model          string
	prompt         string
	maxTokens      int
	timeout        time.Duration
	idempotencyKey string
	once           bool
}

// Name implements subcommands.Command.
func (*requestCommand) Name() string { return "request" }

// Synopsis implements subcommands.Command.
func (*requestCommand) Synopsis() string { return "send one online request and stream its answer" }

// Usage implements subcommands.Command.
func (*requestCommand) Usage() string {
	return "request --model MODEL --prompt TEXT [flags]\n  Streams the answer to standard output.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (r *requestCommand) SetFlags(flags *flag.FlagSet) {
	r.remoteFlags.setFlags(flags, "api-key", apiKeyVariable, "tenant's API `key`")
	flags.StringVar(&r.model, "model", "", "`model` name")
	flags.StringVar(&r.prompt, "prompt", "", "prompt `text`")
	flags.IntVar(&r.maxTokens, "max-tokens", 64, "maximum number of tokens")
	flags.DurationVar(&r.timeout, "timeout", time.Minute, "deadline of the request")
	flags.StringVar(&r.idempotencyKey, "key", "", "idempotency `key`, under which the answer stays readable")
	flags.BoolVar(&r.once, "once", false, "the request may not be repeated")
}

// Execute implements subcommands.Command.
func (r *requestCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if r.model == "" || r.prompt == "" {
		return usageError("give --model and --prompt")
	}
	headers := []client.Header{{Name: gateway.HeaderDeadline, Value: fmt.Sprint(r.timeout.Milliseconds())}}
	if r.idempotencyKey != "" {
		headers = append(headers, client.Header{Name: gateway.HeaderIdempotencyKey, Value: r.idempotencyKey})
	}
	if r.once {
		headers = append(headers, client.Header{Name: gateway.HeaderRepeatable, Value: "false"})
	}
	remote := client.New(r.address, r.key)
	err := remote.Stream(client.Completion{Model: r.model, Prompt: r.prompt, MaxTokens: r.maxTokens}, r.timeout, func(text string) { fmt.Print(text) }, headers...)
	fmt.Println()
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
