package scheduler

import (
	"context"
	"time"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
)

const (
	// placingInterval is the time between two looks at the assignment.
	placingInterval = 200 * time.Millisecond
	// handoverWait is how long a new placing member waits when the earlier one is not known to have stopped. By then it
	// has followed the new epoch, or its store lease has expired.
	handoverWait = assigner.LeaseTTL + assigner.TakeoverMargin
)

// placingEpoch returns the epoch under which this instance places the zone's tasks.
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

// runPlacing starts a term when this instance becomes the placing member, and ends it when it no longer is.
func (s *Scheduler) runPlacing(ctx context.Context) error {
	ticker := time.NewTicker(placingInterval)
	defer ticker.Stop()
	var since time.Time
	var seen describer.Epoch
	for {
		epoch, places := placingEpoch(s.Membership)
		if epoch != seen {
			seen, since = epoch, time.Now()
		}
		current := s.currentTerm()
		if current != nil && (!places || current.epoch != epoch) {
			s.setTerm(nil)
			current.stop()
			current = nil
		}
		waits := handoverPending(s.Membership.Assignment(), s.Membership.Owner()) && time.Since(since) < handoverWait
		if current == nil && places && !waits && s.Membership.Right().Allows(time.Now()) {
			next := newTerm(s, epoch)
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

func (s *Scheduler) currentTerm() *term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *Scheduler) setTerm(t *term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.term = t
}
