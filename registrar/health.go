package registrar

import (
	"context"
	"sync"

	"egretring.example/egretring/assigner"
)

type healthSource int

// The sources that judge the store.
const (
	renewals healthSource = iota
	reads
	healthSourceCount
)

// health says whether the store answers: it does when the last renewal and the last read were answered.
type health struct {
	mu       sync.Mutex
	answered [healthSourceCount]bool
}

func (r *Registrar) reportHealth(ctx context.Context, source healthSource, answered bool) {
	r.health.report(source, answered, func(reachable bool) {
		r.post(ctx, assigner.StoreChanged{Reachable: reachable})
	})
}

// report notes an answer of a source and delivers the health after it. The lock is held meanwhile: two sources that
// deliver in the wrong order would leave the core with a health that no later report corrects.
func (h *health) report(source healthSource, answered bool, deliver func(reachable bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.answered[source] != answered
	h.answered[source] = answered
	if changed || !answered {
		deliver(h.answered[renewals] && h.answered[reads])
	}
}
