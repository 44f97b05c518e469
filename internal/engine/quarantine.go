package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"topazpulley/internal/quarantine"
)

// crashWindow is the length of the periods in which all crashes at one address count
// as one crash: engines do not report an incarnation, and take longer than this to
// restart and load their models.
const crashWindow = 10 * time.Second

// GenerationFingerprint identifies a generation by its content, online or batch.
func GenerationFingerprint(model, tenant string, input []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(PathGenerate, model, tenant, input)
}

// messageParts returns the fingerprints of the messages of a chat: requests that share one share a
// part of their prompt. A prompt that is one text has no parts.
func messageParts(model string, input json.RawMessage) quarantine.Parts {
	var messages []json.RawMessage
	if json.Unmarshal(input, &messages) != nil {
		return nil // one text
	}
	parts := make(quarantine.Parts, 0, len(messages))
	for _, each := range messages {
		parts = append(parts, quarantine.PartFingerprint(model, string(each)))
	}
	return parts
}

// checkQuarantine returns an error if the request is quarantined. It is called for all
// online and batch requests to engines; items of a batch are never quarantined.
func (c *Client) checkQuarantine(run quarantine.Run) error {
	if c.Quarantine == nil || run.IsItem {
		return nil
	}
	if _, isQuarantined := c.Quarantine.Verdict(run.Fingerprint, run.Parts); !isQuarantined {
		return nil
	}
	return &AttemptError{Outcome: OutcomeNotRun, Code: CodeQuarantined}
}

// recordSuccess records a success in the quarantine. A cancelled generation is not a
// success.
func (c *Client) recordSuccess(fingerprint quarantine.Fingerprint, end Event) {
	if c.Quarantine != nil && fingerprint != (quarantine.Fingerprint{}) && end.FinishReason != FinishCancelled {
		c.Quarantine.Succeeded(fingerprint)
	}
}

// recordSound records that the parts of a prompt do not crash the engine.
func (c *Client) recordSound(parts quarantine.Parts) {
	if c.Quarantine != nil {
		c.Quarantine.PartsSucceeded(parts)
	}
}

// recordCrash checks after a broken attempt whether the engine has exited, and if so
// records a crash in the quarantine. It is synchronous, so that the crash is recorded
// before the caller's next attempt.
func (c *Client) recordCrash(ctx context.Context, address string, run quarantine.Run, err error) {
	isBroken := CodeOf(err) == CodeBroken || CodeOf(err) == CodeIncomplete
	if c.Quarantine == nil || run.IsItem || run.Fingerprint == (quarantine.Fingerprint{}) || ctx.Err() != nil || !isBroken {
		return
	}
	if !hasExited(address) {
		return
	}
	instance := fmt.Sprintf("%s@%d", address, time.Now().Unix()/int64(crashWindow.Seconds()))
	c.Quarantine.Crashed(instance, []quarantine.Run{run})
}

// hasExited reports whether an engine has exited: its machine answers, but nothing
// listens on the address.
func hasExited(address string) bool {
	connection, err := net.DialTimeout("tcp", address, quarantine.LiveCheckTimeout)
	if err != nil {
		return quarantine.IndicatesExit(err)
	}
	_ = connection.Close() // nothing was sent
	return false
}
