package engine

import (
	"context"
	"fmt"
	"net"
	"time"

	"topazpulley/internal/quarantine"
)

// crashWindow is the time in which ends of one address are one end: engines of
// this protocol have no id of their own for each start, and take longer than this
// to load their models again.
const crashWindow = 10 * time.Second

// GenerationFingerprint identifies a generation by its content, online or batch.
func GenerationFingerprint(model, tenant string, input []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(PathGenerate, model, tenant, input)
}

// refuseQuarantined returns an error if the request is quarantined. All requests to
// engines pass here, online and batch.
func (c *Client) refuseQuarantined(fingerprint quarantine.Fingerprint) error {
	if c.Quarantine == nil {
		return nil
	}
	if _, isHeld := c.Quarantine.Verdict(fingerprint); !isHeld {
		return nil
	}
	return &AttemptError{Outcome: OutcomeNotRun, Code: CodeQuarantined}
}

// noteSucceeded tells the guard that a run came to a good end.
func (c *Client) noteSucceeded(fingerprint quarantine.Fingerprint, end Event) {
	if c.Quarantine != nil && fingerprint != (quarantine.Fingerprint{}) && end.FinishReason != FinishCancelled {
		c.Quarantine.Succeeded(fingerprint)
	}
}

// noteBroken finds out whether the engine of an attempt that broke has ended, and
// if so tells the guard. The caller waits for it: its next try would be sent before
// the guard knows.
func (c *Client) noteBroken(ctx context.Context, address string, fingerprint quarantine.Fingerprint, err error, hadOutput bool) {
	isBroken := CodeOf(err) == CodeBroken || CodeOf(err) == CodeIncomplete
	if c.Quarantine == nil || fingerprint == (quarantine.Fingerprint{}) || ctx.Err() != nil || !isBroken {
		return
	}
	if !hasEnded(address) {
		return
	}
	instance := fmt.Sprintf("%s@%d", address, time.Now().Unix()/int64(crashWindow.Seconds()))
	c.Quarantine.Crashed(instance, []quarantine.Run{{Fingerprint: fingerprint, HadOutput: hadOutput}})
}

// hasEnded reports whether an engine's machine answers that nothing listens there.
func hasEnded(address string) bool {
	connection, err := net.DialTimeout("tcp", address, quarantine.LiveCheckTimeout)
	if err != nil {
		return quarantine.IndicatesExit(err)
	}
	_ = connection.Close() // nothing was sent on it
	return false
}
