package distributor

import (
	"sync"

	"egretring.example/egretring/ticketer"
)

// holder holds the journal in force and tells its subscribers about changes.
type holder struct {
	mu            sync.Mutex
	journal       journal
	ready         bool
	subscriptions map[*Subscription]struct{}
}

func newHolder(keep retention) *holder {
	return &holder{journal: journal{retention: keep}, subscriptions: make(map[*Subscription]struct{})}
}

// current returns the journal and whether it may be used.
func (h *holder) current() (journal, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.journal, h.ready
}

// update replaces the journal by a later one. Nothing of a sequence that ends with an error is taken over, because a
// fork does not tell which of its tickets are the wrong ones.
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

// markReady allows the use of the journal.
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

// Subscription reports changes of the state in force. A subscriber that is slow misses intermediate states, but
// never the latest one.
type Subscription struct {
	holder *holder
	states chan ticketer.State
}

// States returns the channel of states; the first one is the state at the time of the subscription.
func (s *Subscription) States() <-chan ticketer.State {
	return s.states
}

// Close ends the subscription.
func (s *Subscription) Close() {
	s.holder.mu.Lock()
	defer s.holder.mu.Unlock()
	delete(s.holder.subscriptions, s)
}

// offer replaces the state that was not received yet. It is called with the lock of the holder held.
func (s *Subscription) offer(state ticketer.State) {
	select {
	case <-s.states:
	default:
	}
	s.states <- state
}
