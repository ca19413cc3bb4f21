package follower_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"egretring.example/egretring/follower"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
	"egretring.example/egretring/timekeeper"
)

func TestMain(m *testing.M) {
	tester.Main(m)
}

var errOutage = errors.New("store does not respond")

// source is a configuration store in memory.
type source struct {
	readTime time.Duration
	// outageTime is how long a call takes that gets no response.
	outageTime         time.Duration
	watchesOmitChanges bool

	mu       sync.Mutex
	revision int64
	outage   bool
	reads    int
	changed  chan struct{}
}

func newSource() *source {
	return &source{changed: make(chan struct{})}
}

func (s *source) write(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *source) setOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
}

func (s *source) state() (revision int64, outage bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.outage, s.changed
}

// Configuration implements follower.Source. The revision is that at the beginning of the transfer.
func (s *source) Configuration(ctx context.Context, _ int64) (follower.Reading, error) {
	revision, outage, _ := s.state()
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	timekeeper.Sleep(ctx, s.readTime)
	if outage {
		return follower.Reading{}, errOutage
	}
	reading := follower.Reading{StoreRevision: revision}
	if revision > 0 {
		reading.Newer = &specifier.Configuration{Version: revision, Revision: revision}
	}
	return reading, nil
}

// AwaitChange implements follower.Source.
func (s *source) AwaitChange(ctx context.Context, after int64, wait time.Duration) (follower.Change, error) {
	revision, outage, changed := s.state()
	switch {
	case outage:
		timekeeper.Sleep(ctx, s.outageTime)
		return follower.Change{}, errOutage
	case s.watchesOmitChanges:
		timekeeper.Sleep(ctx, wait)
		return follower.Change{StoreRevision: after}, nil
	case revision > after:
		return follower.Change{Changed: true}, nil
	}
	return awaitChange(ctx, changed, after, wait), nil
}

// awaitChange waits until a channel is closed, for at most a given time.
func awaitChange(ctx context.Context, changed <-chan struct{}, after int64, wait time.Duration) follower.Change {
	select {
	case <-changed:
		return follower.Change{Changed: true}
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return follower.Change{StoreRevision: after}
}

type write struct {
	At       tester.Duration
	Revision int64
}

// TestNewestConfigurationIsKnownInTime guards against changes that are missed, delayed by versions before them, or replaced by
// an older version.
func TestNewestConfigurationIsKnownInTime(t *testing.T) {
	for _, k := range tester.ReadCases[struct {
		Name                    string
		Writes                  []write
		Newest                  int64
		ReadTime, Within        tester.Duration
		WatchesOmitChanges      bool
		OutageFrom, OutageUntil tester.Duration
	}](t, "follow.hujson") {
		t.Run(k.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSource()
				s.readTime, s.watchesOmitChanges = time.Duration(k.ReadTime), k.WatchesOmitChanges
				f := follower.New(s, follower.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
				go f.Run(t.Context())
				startedAt := time.Now()
				if k.OutageUntil > 0 {
					time.AfterFunc(time.Duration(k.OutageFrom), func() { s.setOutage(true) })
					time.AfterFunc(time.Duration(k.OutageUntil), func() { s.setOutage(false) })
				}
				for _, w := range k.Writes {
					time.Sleep(time.Until(startedAt.Add(time.Duration(w.At))))
					s.write(w.Revision)
					k.Newest = max(k.Newest, w.Revision)
				}
				time.Sleep(time.Duration(k.Within))
				require.Equal(t, k.Newest, known(t, f))
				time.Sleep(time.Minute)
				require.Equal(t, k.Newest, known(t, f))
			})
		})
	}
}

// known returns the revision of the configuration that a follower knows.
func known(t *testing.T, f *follower.Follower) int64 {
	update, _, err := f.Await(t.Context(), 0)
	require.NoError(t, err)
	require.NotNil(t, update.Configuration)
	require.False(t, update.NoticedAt.IsZero())
	return update.Configuration.Revision
}

// TestUnchangedConfigurationIsRarelyRead guards against a small link that is filled by reads of a configuration that does not
// change.
func TestUnchangedConfigurationIsRarelyRead(t *testing.T) {
	for _, readTime := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newSource()
			s.readTime = readTime
			s.write(1)
			go follower.New(s).Run(t.Context())
			const period = 5 * time.Minute
			time.Sleep(period)
			s.mu.Lock()
			defer s.mu.Unlock()
			require.LessOrEqual(t, time.Duration(s.reads)*readTime, period/6+readTime)
			require.LessOrEqual(t, s.reads, int(period/(2*time.Second))+1)
		})
	}
}

// restlessSource is a source whose watches always report a change.
type restlessSource struct{ *source }

// AwaitChange implements follower.Source.
func (restlessSource) AwaitChange(context.Context, int64, time.Duration) (follower.Change, error) {
	return follower.Change{Changed: true}, nil
}

// TestWatchWithoutNewVersionDoesNotFillTheLink guards against reads that follow each other without a pause because each watch
// reports a change that a read does not find.
func TestWatchWithoutNewVersionDoesNotFillTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := restlessSource{newSource()}
		s.write(1)
		go follower.New(s, follower.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil)))).Run(t.Context())
		const period = time.Minute
		time.Sleep(period)
		s.mu.Lock()
		defer s.mu.Unlock()
		require.LessOrEqual(t, s.reads, int(period/(250*time.Millisecond))+2)
	})
}
