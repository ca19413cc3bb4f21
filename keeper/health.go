package keeper

import (
	"log/slog"
	"sync"
	"time"
)

// outageLogAfter is how long the store must have failed for its return to be logged.
const outageLogAfter = 500 * time.Millisecond

// Health tracks whether the store serves this instance: a store that is partitioned from it, or refuses its calls, may serve
// other instances. It is safe for concurrent use.
type Health struct {
	logger *slog.Logger

	mu sync.Mutex
	// failingSince is when calls began to be refused or to get no response; zero while the store serves them.
	failingSince time.Time
	// servedAt is when the last call was served.
	servedAt time.Time
}

// NewHealth returns the health of a store that serves this instance.
func NewHealth(logger *slog.Logger) *Health {
	return &Health{logger: logger}
}

// Record records whether the store served a call; it did not if it refused the call or did not respond.
func (h *Health) Record(served bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case served:
		if !h.failingSince.IsZero() && time.Since(h.failingSince) >= outageLogAfter {
			h.logger.Info("store answers again", "FailingSince", h.failingSince)
		}
		h.failingSince = time.Time{}
		h.servedAt = time.Now()
	case h.failingSince.IsZero():
		h.failingSince = time.Now()
		h.logger.Warn("store gave no answer")
	}
}

// FailingFor returns how long the store has not served this instance; zero while it does.
func (h *Health) FailingFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.failingSince.IsZero() {
		return 0
	}
	return max(time.Since(h.failingSince), 1)
}

// ServedWithin reports whether the last call to the store was served, at most a given time ago.
func (h *Health) ServedWithin(age time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failingSince.IsZero() && !h.servedAt.IsZero() && time.Since(h.servedAt) <= age
}
