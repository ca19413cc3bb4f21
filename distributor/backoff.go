package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/timekeeper"
)

const (
	firstDelay = 50 * time.Millisecond
	// lastDelay bounds the time until the return of the store is noticed.
	lastDelay = time.Second
)

// backoff is the delay between attempts: doubled each time, with jitter so that instances do not call in step.
type backoff struct {
	random  *rand.Rand
	attempt int
}

func (b *backoff) reset() {
	b.attempt = 0
}

func (b *backoff) wait(ctx context.Context) {
	delay := min(lastDelay, firstDelay<<min(b.attempt, 10))
	b.attempt++
	timekeeper.Sleep(ctx, delay/2+time.Duration(b.random.Int64N(int64(delay/2))))
}
