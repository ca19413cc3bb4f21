package registrar

import (
	"context"
	"sync"

	"egretring.example/egretring/assigner"
)

type healthSource int

// The sources that report whether the store responds.
const (
	leaseRenewals healthSource = iota
	zoneReads
	healthSourceCount
)

// health holds whether the last call of each source received a response. The store counts as reachable when the last
// lease renewal and the last read both did.
type health struct {
	mu        sync.Mutex
	responded [healthSourceCount]bool
}

func (r *Registrar) reportHealth(ctx context.Context, source healthSource, responded bool) {
	r.health.report(source, responded, func(reachable bool) {
		r.post(ctx, assigner.StoreChanged{Reachable: reachable})
	})
}

// report records the result of a source and delivers the resulting health. The lock is held until it is delivered: if
// two sources delivered in the wrong order, the state machine would keep an outdated health that no later report
// corrects.
func (h *health) report(source healthSource, responded bool, deliver func(reachable bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.responded[source] != responded
	h.responded[source] = responded
	if changed || !responded {
		deliver(h.responded[leaseRenewals] && h.responded[zoneReads])
	}
}
