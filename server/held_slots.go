package server

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/forwarder"
)

const (
	// heldInterval is the time between two reads of the usage of a backend server with held slots.
	heldInterval = time.Second
	// heldMargin covers the difference between the clocks of the backend server and this instance.
	heldMargin = time.Second
)

// heldSlots frees the slots of requests that a backend server may still run although their attempts have ended. A
// report counts only when it was sampled after the attempt and shows an idle server, because reports do not tell the
// requests apart.
type heldSlots struct {
	usage func(context.Context, describer.BackendServer) (forwarder.UsageReport, error)
	freed func(dispatcher.Event)

	mu    sync.Mutex
	since map[describer.BackendServerID]heldServer
}

type heldServer struct {
	server describer.BackendServer
	after  time.Time
}

func (h *heldSlots) add(server describer.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since == nil {
		h.since = make(map[describer.BackendServerID]heldServer)
	}
	h.since[server.ID] = heldServer{server: server, after: time.Now().Add(heldMargin)}
}

func (h *heldSlots) run(ctx context.Context) error {
	ticker := time.NewTicker(heldInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		for _, held := range h.list() {
			h.check(ctx, held)
		}
	}
}

func (h *heldSlots) list() []heldServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]heldServer, 0, len(h.since))
	for _, held := range h.since {
		list = append(list, held)
	}
	return list
}

func (h *heldSlots) check(ctx context.Context, held heldServer) {
	report, err := h.usage(ctx, held.server)
	if err != nil || report.BusySlots > 0 || !report.SampledAt.After(held.after) {
		return
	}
	h.mu.Lock()
	current := h.since[held.server.ID]
	if current.after.Equal(held.after) {
		delete(h.since, held.server.ID)
	}
	h.mu.Unlock()
	if current.after.Equal(held.after) {
		h.freed(dispatcher.SlotsFreed{BackendServer: held.server.ID})
	}
}
