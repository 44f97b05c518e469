package gateway

import (
	"context"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

// MethodKeepResult is the peer call that sends a complete answer to another daemon,
// which stores it when the platform is available again.
const MethodKeepResult = "result.keep"

const (
	keepTimeout        = 500 * time.Millisecond
	keepTries          = 2
	backgroundTimeout  = 5 * time.Minute
	maxBackgroundSaves = 4096
)

// keptResult is a complete answer that is to be written to the object store.
type keptResult struct {
	Object  string
	Content []byte
}

var keptResultSchema = avrocodec.MustParse(`{"type":"record","name":"KeptResult","fields":[
	{"name":"Object","type":"string"},{"name":"Content","type":"bytes"}]}`)

// Schema implements peer.Message.
func (keptResult) Schema() avro.Schema { return keptResultSchema }

// saveResult stores a complete answer before its last part is sent. While the platform
// is unavailable or slow, this daemon and another one, in another zone if possible,
// keep the answer in memory and store it later. The object is immutable, so storing it
// twice is safe.
func (g *Gateway) saveResult(ctx context.Context, result keptResult) {
	if g.Platform.Available() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if g.Platform.Put(bounded, result.Object, result.Content) == nil {
			return
		}
	}
	g.copyToPeer(ctx, result)
	if err := g.storeLater(result); err != nil {
		g.Logger.Error("result_not_stored", "object", result.Object, "error", err)
	}
}

// copyToPeer copies an answer to another daemon, in another zone if possible.
func (g *Gateway) copyToPeer(ctx context.Context, result keptResult) {
	for range keepTries {
		target, found := g.resultPeer()
		if !found {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, keepTimeout)
		_, err := peer.Call[keptResult, peer.Empty](bounded, g.Transport, target.Address, MethodKeepResult, result)
		cancel()
		if err == nil {
			return
		}
		g.Logger.Info("result_copy_failed", "peer", target.Name, "error", err)
	}
}

// resultPeer picks an alive daemon of another zone, or else of this zone.
func (g *Gateway) resultPeer() (membership.Member, bool) {
	isOtherZone := func(member membership.Member) bool { return member.Zone != g.Settings.Zone }
	if target, found := g.randomMember(isOtherZone); found {
		return target, true
	}
	return g.randomMember(func(member membership.Member) bool { return member.Name != g.Settings.Name })
}

// keepResult handles MethodKeepResult.
func (g *Gateway) keepResult(_ context.Context, _ string, result keptResult) (peer.Empty, error) {
	return peer.Empty{}, g.storeLater(result)
}

// storeLater stores an answer in the background and returns at once. It fails if
// maxBackgroundSaves answers already wait.
func (g *Gateway) storeLater(result keptResult) error {
	if g.backgroundSaves.Add(1) > maxBackgroundSaves {
		g.backgroundSaves.Add(-1)
		return failure.New(failure.KindOverloaded, "too_many_results", "more than %d answers wait to be stored", maxBackgroundSaves)
	}
	g.inFlight.Add(1)
	go func() {
		defer g.inFlight.Done()
		defer g.backgroundSaves.Add(-1)
		bounded, cancel := context.WithTimeout(g.lifetime, backgroundTimeout)
		defer cancel()
		if err := g.Platform.Put(bounded, result.Object, result.Content); err != nil {
			g.Logger.Error("result_not_stored", "object", result.Object, "error", err)
		}
	}()
	return nil
}
