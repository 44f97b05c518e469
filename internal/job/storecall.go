package job

import (
	"context"
	"time"

	"topazpulley/internal/table"
)

const (
	// retryPause is the mean pause between two attempts of a call.
	retryPause = 60 * time.Millisecond
	// attemptTimeout bounds one call that transfers little data.
	attemptTimeout = 900 * time.Millisecond
	// minLinkRate is the transfer rate in bytes per second that is assumed for large
	// calls. It is a tenth of a 30 Mbit/s link.
	minLinkRate = 384 << 10
)

// timeoutFor returns the timeout of one call that transfers size bytes.
func timeoutFor(size int) time.Duration {
	return attemptTimeout + time.Duration(size)*time.Second/minLinkRate
}

// commit tries a transaction once, with a timeout that depends on its size.
func (s *Service) commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	size := 0
	for _, write := range transaction.Writes {
		size += len(write.Value)
	}
	bounded, cancel := context.WithTimeout(ctx, timeoutFor(size))
	defer cancel()
	return s.store.Commit(bounded, transaction)
}
