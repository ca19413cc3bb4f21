package sharder

import (
	"context"
	"time"

	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
)

const (
	// freshCallAge is how long ago the store must have served a call of this instance for the instance to be ready without a read.
	freshCallAge = 100 * time.Millisecond
	// readinessTimeout bounds the read. A slow store takes about 250 ms to respond.
	readinessTimeout = 500 * time.Millisecond
	// failingAfter is how long the store must have failed for the response not to wait for the read. It is shorter than the time
	// from the failure of a read to the next check, which comes a second after the last one.
	failingAfter = 400 * time.Millisecond
)

// CheckReady is like Ready, but the store must serve this instance now: unless it has just served a call, it is read. An instance
// without requests would otherwise notice late that it is cut off, and the load balancer uses a zone that is cut off until all of
// its instances are not ready. While the store fails, the response is immediate, and the read shows the next check whether the
// store serves again.
func (s *Sharder) CheckReady(ctx context.Context) bool {
	if s.draining.Load() {
		return false
	}
	if s.health.FailingFor() >= failingAfter {
		go s.readStore(context.WithoutCancel(ctx))
		return false
	}
	return (s.health.ServedWithin(freshCallAge) || s.readStore(ctx)) && s.Ready()
}

// readStore reports whether the store serves a read, which may be stale and is therefore cheap.
func (s *Sharder) readStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	_, err := s.store.Get(keeper.AllowStale(ctx), intaker.ProbeKey)
	return err == nil
}
