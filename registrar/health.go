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
	r.health.mu.Lock()
	changed := r.health.answered[source] != answered
	r.health.answered[source] = answered
	reachable := r.health.answered[renewals] && r.health.answered[reads]
	r.health.mu.Unlock()
	if changed || !answered {
		r.post(ctx, assigner.StoreChanged{Reachable: reachable})
	}
}
