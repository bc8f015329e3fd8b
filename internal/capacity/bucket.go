package capacity

import "time"

const (
	// burstInterval is the part of a second of which a target gets the requests at
	// once. Together with a second of two hosts that both grant permits, while one
	// takes over, it stays within half of the limit over a few seconds.
	burstInterval = 500 * time.Millisecond
	// minRate is the rate of requests to a target that accepts none, so that the
	// hosts notice when it accepts requests again.
	minRate = 0.25
)

// bucket is a token bucket for the requests to one target. Tokens may be taken
// ahead of time; the request then waits for its token.
type bucket struct {
	tokens  float64
	updated time.Time
}

// newBucket returns an empty bucket: the host that granted permits before may
// just have used them.
func newBucket(now time.Time) *bucket { return &bucket{updated: now} }

// take takes a token that is available within maxDelay. It returns the time until
// the token is available and whether it was taken. The bucket holds the tokens of the
// burst time.
func (bucket *bucket) take(rate float64, burst, maxDelay time.Duration, now time.Time) (time.Duration, bool) {
	if elapsed := now.Sub(bucket.updated).Seconds(); elapsed > 0 {
		bucket.tokens = min(max(1, rate*burst.Seconds()), bucket.tokens+elapsed*rate)
		bucket.updated = now
	}
	delay := time.Duration(max(0, 1-bucket.tokens) / rate * float64(time.Second))
	delay += max(0, bucket.updated.Sub(now)) // the first token is not yet on its way
	if delay > maxDelay {
		return delay, false
	}
	bucket.tokens--
	return delay, true
}
