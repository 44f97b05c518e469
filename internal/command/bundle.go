package command

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"topazpulley/internal/bundle"
	"topazpulley/internal/client"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
	"topazpulley/internal/revision"
)

// bundleCommand is one subcommand of bundle. flags registers its flags and run
// executes it.
type bundleCommand struct {
	helpTexts
	remoteFlags
	file      string
	signature string
	keyFile   string
	operator  string
	digest    string
	operation string
	base      int64
	against   string
	flags     func(b *bundleCommand, flags *flag.FlagSet)
	run       func(b *bundleCommand) error
}

// SetFlags implements subcommands.Command.
func (b *bundleCommand) SetFlags(flags *flag.FlagSet) { b.flags(b, flags) }

// Execute implements subcommands.Command.
func (b *bundleCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := b.run(b); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func bundleCommands() []subcommands.Command {
	return []subcommands.Command{
		&bundleCommand{helpTexts: helpTexts{"init", "write an example bundle", "--bundle FILE"}, flags: fileFlags, run: initBundle},
		&bundleCommand{helpTexts: helpTexts{"keygen", "make an operator's key pair", "--key FILE --operator NAME"}, flags: keyFlags, run: generateKey},
		&bundleCommand{helpTexts: helpTexts{"validate", "check a bundle", "--bundle FILE"}, flags: fileFlags, run: validateBundle},
		&bundleCommand{helpTexts: helpTexts{"sign", "add a signature to a bundle's signature file", "--bundle FILE --key FILE --operator NAME"}, flags: signFlags, run: signBundle},
		&bundleCommand{helpTexts: helpTexts{"propose", "submit a signed bundle for acceptance", "--bundle FILE --operator NAME"}, flags: proposeFlags, run: proposeBundle},
		&bundleCommand{helpTexts: helpTexts{"roll", "put an accepted bundle in force", "--digest DIGEST --operator NAME"}, flags: changeFlags, run: submitChange(revision.KindRoll)},
		&bundleCommand{helpTexts: helpTexts{"withdraw", "reinstate the bundle that was in force before", "--digest DIGEST --operator NAME"}, flags: changeFlags, run: submitChange(revision.KindWithdraw)},
		&bundleCommand{helpTexts: helpTexts{"status", "show the revision in force", ""}, flags: operatorFlags, run: showRevision},
		&bundleCommand{helpTexts: helpTexts{"history", "list the newest revisions", ""}, flags: operatorFlags, run: showHistory},
		&bundleCommand{helpTexts: helpTexts{"diff", "compare a bundle with the one in force", "--bundle FILE"}, flags: diffFlags, run: diffBundle},
	}
}

func fileFlags(b *bundleCommand, flags *flag.FlagSet) {
	flags.StringVar(&b.file, "bundle", "bundle.toml", "bundle `file`")
}

func keyFlags(b *bundleCommand, flags *flag.FlagSet) {
	flags.StringVar(&b.keyFile, "key", "operator.key", "private key `file`")
	flags.StringVar(&b.operator, "operator", "", "operator's `name`")
}

func signFlags(b *bundleCommand, flags *flag.FlagSet) {
	fileFlags(b, flags)
	keyFlags(b, flags)
	flags.StringVar(&b.signature, "signatures", "", "signature `file` (default: the bundle's with .sig)")
}

func operatorFlags(b *bundleCommand, flags *flag.FlagSet) {
	b.remoteFlags.setFlags(flags, "token", tokenVariable, "operator `token`")
}

func changeFlags(b *bundleCommand, flags *flag.FlagSet) {
	operatorFlags(b, flags)
	flags.StringVar(&b.operator, "operator", "", "operator's `name`")
	flags.StringVar(&b.digest, "digest", "", "`digest` of the bundle, or its first digits")
	flags.StringVar(&b.operation, "operation", "", "operation `id`; repeat a call with the same id to get its outcome")
	flags.Int64Var(&b.base, "base", -1, "expected head revision; the default uses the current one")
}

func proposeFlags(b *bundleCommand, flags *flag.FlagSet) {
	fileFlags(b, flags)
	changeFlags(b, flags)
	flags.StringVar(&b.signature, "signatures", "", "signature `file` (default: the bundle's with .sig)")
}

func diffFlags(b *bundleCommand, flags *flag.FlagSet) {
	fileFlags(b, flags)
	operatorFlags(b, flags)
	flags.StringVar(&b.against, "against", "", "another bundle `file` instead of the one in force")
}

func (b *bundleCommand) remote() *client.Client { return client.New(b.address, b.key) }

func (b *bundleCommand) signatureFile() string {
	if b.signature != "" {
		return b.signature
	}
	return b.file + ".sig"
}

func (b *bundleCommand) requireOperator() error {
	if b.operator == "" {
		return failure.New(failure.KindInvalid, "usage", "give --operator NAME")
	}
	return nil
}

func initBundle(b *bundleCommand) error {
	if _, err := os.Stat(b.file); err == nil {
		return failure.New(failure.KindConflict, "file_exists", "%s exists already: choose another name", b.file)
	}
	return writeFile(b.file, []byte(harness.ExampleBundle("1")), 0o644)
}

func generateKey(b *bundleCommand) error {
	if err := b.requireOperator(); err != nil {
		return err
	}
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "keygen", "cannot generate a key")
	}
	if err := writeFile(b.keyFile, []byte(hex.EncodeToString(privateKey)+"\n"), 0o600); err != nil {
		return err
	}
	fmt.Printf("[operator_keys]\n%s = %q\n", b.operator, hex.EncodeToString(publicKey))
	return nil
}

func (b *bundleCommand) parse() (string, *bundle.Bundle, error) {
	content, err := readFile(b.file)
	if err != nil {
		return "", nil, err
	}
	parsed, err := bundle.Parse(string(content))
	return string(content), parsed, err
}

func validateBundle(b *bundleCommand) error {
	text, parsed, err := b.parse()
	if err != nil {
		return err
	}
	fmt.Printf("valid digest=%s services=%d models=%d tenants=%d\n", bundle.Digest(text), len(parsed.Services), len(parsed.Models), len(parsed.Tenants))
	return nil
}

func signBundle(b *bundleCommand) error {
	if err := b.requireOperator(); err != nil {
		return err
	}
	text, _, err := b.parse()
	if err != nil {
		return err
	}
	key, err := b.privateKey()
	if err != nil {
		return err
	}
	signatures, err := readSignatures(b.signatureFile())
	if err != nil {
		return err
	}
	signatures = append(signatures, bundle.Sign(text, b.operator, key))
	encoded, err := json.MarshalIndent(signatures, "", "  ")
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "encode", "cannot encode signatures")
	}
	return writeFile(b.signatureFile(), encoded, 0o644)
}

func (b *bundleCommand) privateKey() (ed25519.PrivateKey, error) {
	content, err := readFile(b.keyFile)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(content)))
	if err != nil || len(key) != ed25519.PrivateKeySize {
		return nil, failure.New(failure.KindInvalid, "bad_key_file", "%s must hold a private key from bundle keygen", b.keyFile)
	}
	return key, nil
}

func readSignatures(path string) ([]bundle.Signature, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	signatures := []bundle.Signature{}
	if err != nil || json.Unmarshal(content, &signatures) != nil {
		return nil, failure.New(failure.KindInvalid, "bad_signature_file", "%s is not a signature file from bundle sign", path)
	}
	return signatures, nil
}

func proposeBundle(b *bundleCommand) error {
	if err := b.requireOperator(); err != nil {
		return err
	}
	content, err := readFile(b.file)
	if err != nil {
		return err
	}
	signatures, err := readSignatures(b.signatureFile())
	if err != nil {
		return err
	}
	return b.change(gateway.ChangeRequest{Kind: revision.KindAccept, Text: string(content), Signatures: signatures})
}

// submitChange returns a run function that submits a change of the given kind to an
// accepted bundle.
func submitChange(kind revision.Kind) func(*bundleCommand) error {
	return func(b *bundleCommand) error {
		if err := b.requireOperator(); err != nil {
			return err
		}
		digest, err := b.resolveDigest()
		if err != nil {
			return err
		}
		return b.change(gateway.ChangeRequest{Kind: kind, Digest: digest})
	}
}

// resolveDigest returns the first digest in the history that begins with b.digest.
func (b *bundleCommand) resolveDigest() (string, error) {
	history, err := b.remote().History()
	if err != nil {
		return "", err
	}
	for _, each := range history {
		if b.digest != "" && strings.HasPrefix(each.Subject, b.digest) {
			return each.Subject, nil
		}
	}
	return "", failure.New(failure.KindNotFound, "bundle_not_accepted", "no accepted bundle has the digest %q: see bundle history", b.digest)
}

// change submits the change against revision b.base and prints the new revision.
// On failure it prints the operation id, with which the call can be repeated.
func (b *bundleCommand) change(request gateway.ChangeRequest) error {
	request.Operator, request.OperationID, request.Base = b.operator, b.operation, b.base
	if request.OperationID == "" {
		request.OperationID = ulid.Make().String()
	}
	made, err := b.remote().Change(request)
	if err != nil {
		fmt.Fprintf(os.Stderr, "operation=%s\n", request.OperationID)
		return err
	}
	printRevision(made)
	return nil
}

func printRevision(shown revision.Revision) {
	created := time.UnixMilli(shown.Created).UTC().Format(time.RFC3339)
	fmt.Printf("revision=%d kind=%s subject=%s active=%s operator=%s operation=%s created=%s\n",
		shown.Number, shown.Kind, shown.Subject, shown.Active, shown.Operator, shown.OperationID, created)
}

func showRevision(b *bundleCommand) error {
	status, err := b.remote().Status()
	if err != nil {
		return err
	}
	fmt.Printf("daemon=%s revision=%d active=%s cut_off=%t platform_up=%t\n", status.Daemon, status.Revision, status.Active, status.CutOff, status.PlatformUp)
	return nil
}

func showHistory(b *bundleCommand) error {
	history, err := b.remote().History()
	if err != nil {
		return err
	}
	for _, each := range history {
		printRevision(each)
	}
	return nil
}

func diffBundle(b *bundleCommand) error {
	_, next, err := b.parse()
	if err != nil {
		return err
	}
	reference, err := b.referenceBundle()
	if err != nil {
		return err
	}
	for _, line := range bundle.Difference(reference, next) {
		fmt.Println(line)
	}
	return nil
}

// referenceBundle returns the bundle of the file --against, by default the active
// bundle, or an empty bundle if none is active.
func (b *bundleCommand) referenceBundle() (*bundle.Bundle, error) {
	if b.against != "" {
		content, err := readFile(b.against)
		if err != nil {
			return nil, err
		}
		return bundle.Parse(string(content))
	}
	status, err := b.remote().Status()
	if err != nil {
		return nil, err
	}
	if status.Active == "" {
		return &bundle.Bundle{}, nil
	}
	text, err := b.remote().BundleText(status.Active)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(text.Text)
}
