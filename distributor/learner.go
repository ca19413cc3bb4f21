package distributor

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/timekeeper"
)

const (
	// peerTimeout bounds the request to one peer.
	peerTimeout = 2 * time.Second
	// storeGrace is how long a starting instance waits for the store before it asks its peers.
	storeGrace = 2 * time.Second
	// lagGrace is how long the watch has to deliver a ticket that a peer reported.
	lagGrace = 500 * time.Millisecond
	// lastLagDelay bounds the doubled delay between attempts to fetch a reported ticket that nobody has, for example
	// because a heartbeat was wrong; each attempt reads all tickets of the store.
	lastLagDelay = 30 * time.Second
	// peerInterval is the time between two rounds of an instance that is not ready.
	peerInterval = 500 * time.Millisecond
)

// errNoPeer is returned when no peer answered.
var errNoPeer = errors.New("no peer answered")

// learner fetches tickets from peers: at the start while the store is unreachable, and when a heartbeat reports a
// higher number than the watch has delivered.
type learner struct {
	session *session
	peers   func() []PeerSource
	log     *slog.Logger
	// storeFailed is closed at the first failure to read the store.
	storeFailed <-chan struct{}

	mu    sync.Mutex
	heard int64
	wake  chan struct{}
}

// hear notes the number that a peer reported.
func (l *learner) hear(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number <= l.heard {
		return
	}
	l.heard = number
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *learner) run(ctx context.Context) error {
	l.start(ctx)
	for ctx.Err() == nil {
		select {
		case <-l.wake:
			l.catchUp(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// start asks the peers until the instance is ready, unless the store answers first.
func (l *learner) start(ctx context.Context) {
	grace := time.NewTimer(storeGrace)
	defer grace.Stop()
	select {
	case <-l.storeFailed:
	case <-grace.C:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && !l.isReady() {
		if err := l.learn(ctx); err == nil {
			l.session.holder.markReady()
			return
		}
		timekeeper.Sleep(ctx, peerInterval)
	}
}

func (l *learner) isReady() bool {
	_, ready := l.session.holder.current()
	return ready
}

// catchUp fetches the tickets that a peer reported, unless the watch delivers them in time.
func (l *learner) catchUp(ctx context.Context) {
	for delay := lagGrace; ctx.Err() == nil; delay = min(2*delay, lastLagDelay) {
		timekeeper.Sleep(ctx, delay)
		if !l.lags() {
			return
		}
		if err := l.learn(ctx); err != nil {
			l.log.DebugContext(ctx, "could not fetch tickets from peers", "Error", err.Error())
		}
		if !l.lags() {
			return
		}
		if _, err := l.session.resync(ctx); err != nil {
			l.log.DebugContext(ctx, "could not fetch tickets from the store", "Error", err.Error())
		}
	}
}

func (l *learner) lags() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current, _ := l.session.holder.current()
	return current.state.Applied() < l.heard
}

// learn asks all peers at once and applies what they answer; the highest number wins, whatever the order.
func (l *learner) learn(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	current, _ := l.session.holder.current()
	peers := l.peers()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- l.ask(ctx, peer, current.state.Applied()) }()
	}
	err := errNoPeer
	for range peers {
		if one := <-results; one == nil {
			err = nil
		}
	}
	return err
}

func (l *learner) ask(ctx context.Context, peer PeerSource, after int64) error {
	batch, err := peer.Tickets(ctx, after)
	if err != nil {
		return errors.Wrap(err, "fetch tickets from peer")
	}
	decoded, err := batch.lesson()
	if err != nil {
		return err
	}
	return l.session.holder.update(func(j journal) (journal, error) { return j.learned(decoded) })
}
