package scheduler

import (
	"context"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

const (
	// placingInterval is the time between two checks of the zone's assignment.
	placingInterval = 200 * time.Millisecond
	// handoverWait is how long a new placing member waits when the earlier one is not known to have stopped. By then
	// the earlier one has switched to the new epoch, or its store lease has expired.
	handoverWait = assigner.LeaseTTL + assigner.TakeoverMargin
)

// placingEpoch returns the epoch of the zone's assignment and whether this instance is the placing member under it.
func placingEpoch(m Membership) (describer.Epoch, bool) {
	assignment := m.Assignment()
	placing, ok := assignment.PlacingMember()
	return assignment.Epoch, ok && placing == m.Owner()
}

// handoverPending reports whether an earlier holder of position 0 may still place tasks.
func handoverPending(assignment assigner.Assignment, self assigner.Owner) bool {
	for _, holding := range assignment.Previous {
		if holding.Position == 0 && holding.Owner != self && !holding.Stopped {
			return true
		}
	}
	return false
}

// runPlacing starts a placing term when this instance becomes the zone's placing member, and ends it when it no longer
// is.
func (s *Scheduler) runPlacing(ctx context.Context) error {
	ticker := time.NewTicker(placingInterval)
	defer ticker.Stop()
	var since time.Time
	var seen describer.Epoch
	for {
		epoch, isPlacing := placingEpoch(s.Membership)
		if epoch != seen {
			seen, since = epoch, time.Now()
		}
		current := s.currentTerm()
		if current != nil && (!isPlacing || current.epoch != epoch) {
			s.setTerm(nil)
			current.stop()
			current = nil
		}
		pending := handoverPending(s.Membership.Assignment(), s.Membership.Owner()) && time.Since(since) < handoverWait
		if current == nil && isPlacing && !pending && s.Membership.Right().Allows(time.Now()) {
			next := newPlacingTerm(s, epoch)
			s.setTerm(next)
			next.start()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if current := s.currentTerm(); current != nil {
				current.stop()
			}
			return nil
		}
	}
}

func (s *Scheduler) currentTerm() *placingTerm {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Scheduler) setTerm(t *placingTerm) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}
