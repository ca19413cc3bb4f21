package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	initialDelay = 50 * time.Millisecond
	// maxDelay bounds how long it takes to notice that the store is reachable again.
	maxDelay = time.Second
)

// backoff is an exponential delay between attempts, with jitter so that the instances do not call the store at the same
// time.
type backoff struct {
	random  *rand.Rand
	attempt int
}

func (b *backoff) reset() {
	b.attempt = 0
}

func (b *backoff) wait(ctx context.Context) {
	delay := min(maxDelay, initialDelay<<min(b.attempt, 10))
	b.attempt++
	timekeeper.Sleep(ctx, delay/2+time.Duration(b.random.Int64N(int64(delay/2))))
}
