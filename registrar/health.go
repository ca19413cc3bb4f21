package registrar

import (
	"context"
	"sync"

	"egretring.example/egretring/assigner"
)

type healthSource int

// The sources that report whether the store answers.
const (
	leaseRenewals healthSource = iota
	zoneReads
	healthSourceCount
)

// health holds whether the last call of each source was answered. The store counts as reachable when the last lease
// renewal and the last read were both answered.
type health struct {
	mu       sync.Mutex
	answered [healthSourceCount]bool
}

func (r *Registrar) reportHealth(ctx context.Context, source healthSource, answered bool) {
	r.health.report(source, answered, func(reachable bool) {
		r.post(ctx, assigner.StoreChanged{Reachable: reachable})
	})
}

// report records the result of a source and delivers the resulting health. The lock is held until it is delivered: if
// two sources delivered in the wrong order, the core would keep an outdated health that no later report corrects.
func (h *health) report(source healthSource, answered bool, deliver func(reachable bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.answered[source] != answered
	h.answered[source] = answered
	if changed || !answered {
		deliver(h.answered[leaseRenewals] && h.answered[zoneReads])
	}
}
