package worker

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls task at each interval until the context ends.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, task func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			task()
		}
	}
}
