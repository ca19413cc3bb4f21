package distributor

import (
	"sync"

	"egretring.example/egretring/ticketer"
)

// holder holds the journal in force and notifies its subscribers of changes.
type holder struct {
	mu            sync.Mutex
	journal       journal
	ready         bool
	subscriptions map[*Subscription]struct{}
}

func newHolder(keep retention) *holder {
	return &holder{journal: journal{retention: keep}, subscriptions: make(map[*Subscription]struct{})}
}

// current returns the journal and whether it is ready, which it is once it has been read from the store or a peer.
func (h *holder) current() (journal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal, h.ready
}

// update replaces the journal with the result of next if that is newer. If next returns an error, none of its tickets
// are applied, because after a fork it is not known which of them are the wrong ones.
func (h *holder) update(next func(journal) (journal, error)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed, err := next(h.journal)
	if err != nil {
		return err
	}
	if changed.state.Applied() > h.journal.state.Applied() {
		h.journal = changed
		h.publish()
	}
	return nil
}

// markReady marks the journal as ready and publishes its state.
func (h *holder) markReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready {
		h.ready = true
		h.publish()
	}
}

func (h *holder) publish() {
	if !h.ready {
		return
	}
	for subscription := range h.subscriptions {
		subscription.offer(h.journal.state)
	}
}

func (h *holder) subscribe() *Subscription {
	h.mu.Lock()
	defer h.mu.Unlock()
	subscription := &Subscription{holder: h, states: make(chan ticketer.State, 1)}
	h.subscriptions[subscription] = struct{}{}
	if h.ready {
		subscription.offer(h.journal.state)
	}
	return subscription
}

// Subscription delivers changes of the state in force. A slow subscriber misses intermediate states, but never the
// latest one.
type Subscription struct {
	holder *holder
	states chan ticketer.State
}

// States returns the channel of states. If the distributor is ready, the state at the time of the subscription is sent
// first.
func (s *Subscription) States() <-chan ticketer.State {
	return s.states
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	delete(s.holder.subscriptions, s)
}

// offer sends a state and discards the previous one if the subscriber has not received it yet. The lock of the holder
// must be held.
func (s *Subscription) offer(state ticketer.State) {
	select {
	case <-s.states:
	default:
	}
	s.states <- state
}
