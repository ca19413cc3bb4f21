package follower_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/follower"
	"egretring.example/egretring/specifier"
)

// TestEncodedConfigurationIsDecoded guards against parts of a configuration that get lost on the way to a peer, and against an
// encoding that is too large to spare the store's link.
func TestEncodedConfigurationIsDecoded(t *testing.T) {
	var queues []specifier.Queue
	for i := range 5000 {
		queues = append(queues, specifier.Queue{
			Name: fmt.Sprint("name-", i), Host: fmt.Sprintf("host-%d.example", i), Prefix: "/q/", Service: "s", Priority: i % 3, MaxAttempts: 3,
			Stretch: 1.5, TargetLatency: time.Second, Advice: specifier.AdviceCost{Needed: i%2 == 0, Fixed: time.Millisecond},
		})
	}
	want := &specifier.Configuration{
		Version: 7, Revision: 9, Queues: specifier.NewQueues(queues...), CapacityEnforcingServices: map[string]bool{"s": true}, MaxBodyBytes: 5,
		MaxConnections: map[string]int{"s": 64},
	}
	data, err := follower.Encode(want)
	require.NoError(t, err)
	require.Less(t, len(data), 100_000)
	got, err := follower.Decode(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = follower.Decode(data[:len(data)/2])
	require.Error(t, err)
}

// settledAfter is when the followers of a pair know the first configuration. They make regular calls at whole seconds, and the tests act
// between these: the order of events at the same time is not defined.
const settledAfter = 3100 * time.Millisecond

// pair is a follower that asks another one, which reads the store.
type pair struct {
	leaderSource, source *source
	follower             *follower.Follower
	asked                atomic.Int64
	peerDown             atomic.Bool
}

// newPair starts the followers with the first configuration in the store, after a function has set the times of the sources.
func newPair(t *testing.T, setUp func(p *pair)) *pair {
	p := &pair{leaderSource: newSource(), source: newSource()}
	p.write(1)
	setUp(p)
	logger := follower.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil)))
	leader := follower.New(p.leaderSource, logger)
	p.follower = follower.New(p.source, logger, follower.WithPeer(func(ctx context.Context, known int64, wait time.Duration) (follower.Answer, error) {
		p.asked.Add(1)
		if p.peerDown.Load() {
			<-ctx.Done()
			return follower.Answer{}, ctx.Err()
		}
		return leader.Answer(ctx, known, wait)
	}))
	go leader.Run(t.Context())
	go p.follower.Run(t.Context())
	return p
}

func (p *pair) write(revision int64) {
	p.leaderSource.write(revision)
	p.source.write(revision)
}

func (s *source) readCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

// TestPeerSparesTheStore guards against instances that all read a large configuration from the store at once, and that then
// miss changes after the one that a peer has sent.
func TestPeerSparesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.leaderSource.readTime, p.source.readTime = 100*time.Millisecond, 2*time.Second })
		time.Sleep(settledAfter)
		require.Equal(t, int64(1), known(t, p.follower))
		reads := p.source.readCount()
		for revision := range int64(5) {
			p.write(revision + 2)
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, revision+2, known(t, p.follower))
		}
		require.Equal(t, reads, p.source.readCount())
	})
}

// TestStoreIsReadWithoutPeer guards against a configuration that is not in force in time because peers do not respond or cannot
// reach the store, and against peers that are asked again and again although they do not respond.
func TestStoreIsReadWithoutPeer(t *testing.T) {
	for _, down := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t, func(*pair) {})
			time.Sleep(settledAfter)
			p.peerDown.Store(down)
			p.leaderSource.setOutage(true)
			asked := p.asked.Load()
			for revision := range int64(5) {
				p.source.write(revision + 2)
				time.Sleep(time.Second)
				require.Equal(t, revision+2, known(t, p.follower))
			}
			if down {
				require.Equal(t, asked+1, p.asked.Load())
			}
			p.leaderSource.setOutage(false)
			p.peerDown.Store(false)
			time.Sleep(10 * time.Second)
			p.write(9)
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, int64(9), known(t, p.follower))
			require.Greater(t, p.asked.Load(), asked+1)
		})
	}
}

// TestPeerDoesNotStandForTheStore guards against an instance that counts the store as reachable because a peer responds, and
// then keeps callers waiting for a store that does not serve it.
func TestPeerDoesNotStandForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t, func(p *pair) { p.source.outageTime = time.Second })
		time.Sleep(settledAfter)
		p.source.setOutage(true)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, seen, err := p.follower.Await(ctx, 0)
		for err == nil {
			var update follower.Update
			update, seen, err = p.follower.Await(ctx, seen)
			require.False(t, err == nil && update.Served)
		}
	})
}
