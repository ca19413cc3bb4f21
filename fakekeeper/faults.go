package fakekeeper

import (
	"context"
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// Faults configure the simulated faults of a store.
type Faults struct {
	// Down makes each call fail with keeper.ErrUnavailable and without effect.
	Down bool
	// LoseWriteResponses is how many of the next writes the store executes although it returns keeper.ErrUnavailable, as
	// if the response were lost.
	LoseWriteResponses int
	// LateBy delays the effect of the writes whose responses are lost. It applies to transactions only.
	LateBy time.Duration
	// MuteWatches makes the watches of a Transactional end after their wait without a change, even if there are
	// changes.
	MuteWatches bool
	// Refuse makes each call fail with keeper.ErrRefused and without effect.
	Refuse bool
	// Delay is the time that passes before each call takes effect.
	Delay time.Duration
	// MaxValueBytes is the largest value that a transaction may write; zero stands for keeper.MaxValueBytes.
	MaxValueBytes int
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; zero means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Calls counts the calls that a store has received.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	// RateLimited counts the calls above the rate limits. It does not include the calls that fail because of
	// Faults.Refuse.
	RateLimited int64

	second         time.Time
	readsInSecond  int
	writesInSecond int
}

type callKind int

const (
	readCall callKind = iota
	writeCall
	watchCall
)

// callOutcome says whether the response to a call is lost.
type callOutcome struct {
	lost bool
}

// answer returns the error that the caller of a successful call receives.
func (o callOutcome) answer() error {
	return o.answerWith(nil)
}

// answerWith returns the error that the caller of a call with the given result receives.
func (o callOutcome) answerWith(err error) error {
	if o.lost {
		return keeper.ErrUnavailable
	}
	return err
}

// SetFaults replaces the simulated faults of the store.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the counters of the calls that the store has received.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Down
}

// begin counts a call and applies the faults that occur before its effect.
func (s *Store) begin(ctx context.Context, kind callKind) (callOutcome, error) {
	s.mu.Lock()
	down, delay, refuse := s.faults.Down, s.faults.Delay, s.faults.Refuse
	allowed := s.countCall(kind)
	lost := kind == writeCall && allowed && !down && !refuse && s.faults.LoseWriteResponses > 0
	if lost {
		s.faults.LoseWriteResponses--
	}
	s.mu.Unlock()
	if refuse {
		return callOutcome{}, keeper.ErrRefused
	}
	if down {
		return callOutcome{}, keeper.ErrUnavailable
	}
	if !allowed {
		return callOutcome{}, keeper.ErrRateLimited
	}
	return callOutcome{lost: lost}, sleep(ctx, delay)
}

// countCall counts a call and reports whether the rate limits allow it.
func (s *Store) countCall(kind callKind) bool {
	now := time.Now().Truncate(time.Second)
	if !now.Equal(s.calls.second) {
		s.calls.second, s.calls.readsInSecond, s.calls.writesInSecond = now, 0, 0
	}
	allowed := true
	switch kind {
	case writeCall:
		s.calls.Writes++
		s.calls.writesInSecond++
		allowed = s.faults.WritesPerSecond == 0 || s.calls.writesInSecond <= s.faults.WritesPerSecond
	case watchCall:
		s.calls.Watches++
	default:
		s.calls.Reads++
		s.calls.readsInSecond++
		allowed = s.faults.ReadsPerSecond == 0 || s.calls.readsInSecond <= s.faults.ReadsPerSecond
	}
	if !allowed {
		s.calls.RateLimited++
	}
	return allowed
}

func sleep(ctx context.Context, delay time.Duration) error {
	if delay == 0 {
		return nil
	}
	if !timekeeper.Sleep(ctx, delay) {
		return keeper.ErrUnavailable
	}
	return nil
}
