package fakekeeper

import (
	"context"
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// Faults are the faults of a store.
type Faults struct {
	// Down makes each call fail without effect.
	Down bool
	// LoseWriteAnswers is how many of the next writes take effect but give no answer.
	LoseWriteAnswers int
	// LateBy is how much later the writes without an answer take effect; only transactions are late.
	LateBy time.Duration
	// MuteWatches makes watches end without the changes that there are.
	MuteWatches bool
	// Refuse makes each call fail without effect, and say so.
	Refuse bool
	// Delay is how long each call takes.
	Delay time.Duration
	// WritesPerSecond and ReadsPerSecond limit the calls; zero means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Calls counts the calls that a store has had.
type Calls struct {
	Reads   int64
	Writes  int64
	Watches int64
	Refused int64

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

// fate is what happens to the answer of a call.
type fate struct {
	lost bool
}

func (f fate) answer() error {
	return f.orLost(nil)
}

func (f fate) orLost(err error) error {
	if f.lost {
		return keeper.ErrUnavailable
	}
	return err
}

// SetFaults replaces the faults of the store.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns how many calls the store has had.
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

// begin counts a call and applies the faults that precede its effect.
func (s *Store) begin(ctx context.Context, kind callKind) (fate, error) {
	s.mu.Lock()
	down, delay, refuse := s.faults.Down, s.faults.Delay, s.faults.Refuse
	allowed := s.count(kind)
	lost := kind == writeCall && allowed && !down && !refuse && s.faults.LoseWriteAnswers > 0
	if lost {
		s.faults.LoseWriteAnswers--
	}
	s.mu.Unlock()
	if refuse {
		return fate{}, keeper.ErrRefused
	}
	if down {
		return fate{}, keeper.ErrUnavailable
	}
	if !allowed {
		return fate{}, keeper.ErrRateLimited
	}
	return fate{lost: lost}, wait(ctx, delay)
}

// count counts a call and reports whether the rate limits allow it.
func (s *Store) count(kind callKind) bool {
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
		s.calls.Refused++
	}
	return allowed
}

func wait(ctx context.Context, delay time.Duration) error {
	if delay == 0 {
		return nil
	}
	if !timekeeper.Sleep(ctx, delay) {
		return keeper.ErrUnavailable
	}
	return nil
}
