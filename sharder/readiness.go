package sharder

import (
	"context"
	"time"

	"egretring.example/egretring/intaker"
)

const (
	// freshCallAge is how long ago the store must have served a call of this instance for the instance to be ready without a read.
	freshCallAge = 100 * time.Millisecond
	// readinessTimeout bounds the read. A slow store takes about 250 ms to respond.
	readinessTimeout = 500 * time.Millisecond
)

// CheckReady is like Ready, but the store must serve this instance now: unless it has just served a call, it is read. An instance
// without requests would otherwise notice late that it is cut off, and the load balancer uses a zone that is cut off until all of
// its instances are not ready.
func (s *Sharder) CheckReady(ctx context.Context) bool {
	if s.draining.Load() {
		return false
	}
	return s.storeServes(ctx) && s.Ready()
}

// storeServes reports whether the store has just served a call, or serves a read now.
func (s *Sharder) storeServes(ctx context.Context) bool {
	if s.health.ServedWithin(freshCallAge) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	_, err := s.store.Get(ctx, intaker.ProbeKey)
	return err == nil
}
