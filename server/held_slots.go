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
	// heldInterval is the time between two polls of the usage of a backend server with held slots.
	heldInterval = time.Second
	// heldMargin is added to the end of an attempt. It covers the difference between the clocks of the backend server and
	// this instance.
	heldMargin = time.Second
)

// heldSlots frees the slots that are held for requests which a backend server may still run although their attempts have
// ended. It polls the usage of the server. Usage reports do not identify requests, so a report frees the held slots only
// when it was sampled after the last of these attempts ended and shows no busy slot.
type heldSlots struct {
	usage func(context.Context, describer.BackendServer) (forwarder.UsageReport, error)
	freed func(dispatcher.Event)

	mu      sync.Mutex
	servers map[describer.BackendServerID]heldServer
}

type heldServer struct {
	server describer.BackendServer
	// after is the time after which a usage report must have been sampled.
	after time.Time
}

// add records that an attempt has ended whose request the backend server may still run.
func (h *heldSlots) add(server describer.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servers == nil {
		h.servers = make(map[describer.BackendServerID]heldServer)
	}
	h.servers[server.ID] = heldServer{server: server, after: time.Now().Add(heldMargin)}
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
	list := make([]heldServer, 0, len(h.servers))
	for _, held := range h.servers {
		list = append(list, held)
	}
	return list
}

// check frees the held slots of a backend server when it is idle and add was not called for it in the meantime.
func (h *heldSlots) check(ctx context.Context, held heldServer) {
	report, err := h.usage(ctx, held.server)
	if err != nil || report.BusySlots > 0 || !report.SampledAt.After(held.after) {
		return
	}
	h.mu.Lock()
	current := h.servers[held.server.ID]
	if current.after.Equal(held.after) {
		delete(h.servers, held.server.ID)
	}
	h.mu.Unlock()
	if current.after.Equal(held.after) {
		h.freed(dispatcher.SlotsFreed{BackendServer: held.server.ID})
	}
}
