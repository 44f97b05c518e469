package job

import (
	"context"
	"time"

	"topazpulley/internal/table"
)

const (
	// storePause is the mean pause between two tries of a call.
	retryPause = 60 * time.Millisecond
	// storeAttempt bounds one call that carries little; slow stores answer
	// within half of it.
	attemptTimeout = 900 * time.Millisecond
	// slowLinkBytes is what a link carries in a second at least: a tenth of the
	// slowest links of 30 Mbit/s, whose rest other work may take.
	minLinkRate = 384 << 10
)

// attemptTime bounds one call that carries so many bytes.
func timeoutFor(size int) time.Duration {
	return attemptTimeout + time.Duration(size)*time.Second/minLinkRate
}

// commit tries a transaction once, for as long as its size takes on a slow link.
func (s *Service) commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	size := 0
	for _, write := range transaction.Writes {
		size += len(write.Value)
	}
	bounded, cancel := context.WithTimeout(ctx, timeoutFor(size))
	defer cancel()
	return s.store.Commit(bounded, transaction)
}
