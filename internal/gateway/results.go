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

// MethodKeepResult gives another daemon a finished answer to store once the
// platform is back.
const MethodKeepResult = "result.keep"

const (
	keepTimeout        = 500 * time.Millisecond
	keepTries          = 2
	backgroundTimeout  = 5 * time.Minute
	maxBackgroundSaves = 4096
)

// keptResult is a finished answer on its way to the object store.
type keptResult struct {
	Object  string
	Content []byte
}

var keptResultSchema = avrocodec.MustParse(`{"type":"record","name":"KeptResult","fields":[
	{"name":"Object","type":"string"},{"name":"Content","type":"bytes"}]}`)

// Schema implements peer.Message.
func (keptResult) Schema() avro.Schema { return keptResultSchema }

// saveResult makes an answer readable before its last part goes out: in the
// object store, or, while the platform is down or slow, in the memory of this
// daemon and of one in another zone, which both store it later. The object is
// immutable, so storing it twice does no harm.
func (g *Gateway) saveResult(ctx context.Context, result keptResult) {
	if g.Platform.Available() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if g.Platform.Put(bounded, result.Object, result.Content) == nil {
			return
		}
	}
	g.keepElsewhere(ctx, result)
	if err := g.storeLater(result); err != nil {
		g.Logger.Error("result_not_stored", "object", result.Object, "error", err)
	}
}

// keepElsewhere copies an answer to another daemon, best in another zone.
func (g *Gateway) keepElsewhere(ctx context.Context, result keptResult) {
	for range keepTries {
		keeper, found := g.resultKeeper()
		if !found {
			return
		}
		bounded, cancel := context.WithTimeout(ctx, keepTimeout)
		_, err := peer.Call[keptResult, peer.Empty](bounded, g.Transport, keeper.Address, MethodKeepResult, result)
		cancel()
		if err == nil {
			return
		}
		g.Logger.Info("result_copy_failed", "peer", keeper.Name, "error", err)
	}
}

// resultKeeper picks a live daemon of another zone, or else of this one.
func (g *Gateway) resultKeeper() (membership.Member, bool) {
	isOther := func(member membership.Member) bool { return member.Zone != g.Settings.Zone }
	if keeper, found := g.randomMember(isOther); found {
		return keeper, true
	}
	return g.randomMember(func(member membership.Member) bool { return member.Name != g.Settings.Name })
}

func (g *Gateway) keepResult(_ context.Context, _ string, result keptResult) (peer.Empty, error) {
	return peer.Empty{}, g.storeLater(result)
}

// storeLater stores an answer in the background until the platform is back. It
// refuses when too many wait already.
func (g *Gateway) storeLater(result keptResult) error {
	if g.backgroundSaves.Add(1) > maxBackgroundSaves {
		g.backgroundSaves.Add(-1)
		return failure.New(failure.KindOverloaded, "too_many_results", "more than %d answers wait for the platform", maxBackgroundSaves)
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
