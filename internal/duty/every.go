package duty

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls work at each interval until the context ends.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, work func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			work()
		}
	}
}
