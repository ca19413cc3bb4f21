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
	// peerTimeout is the timeout of the concurrent requests to all peers.
	peerTimeout = 2 * time.Second
	// storeGrace is how long a starting instance waits for the store before it requests the tickets from its peers.
	storeGrace = 2 * time.Second
	// lagGrace is how long an instance waits for the watch to deliver a ticket that a peer reported before it requests
	// the ticket from its peers.
	lagGrace = 500 * time.Millisecond
	// maxLagDelay bounds the delay between attempts to fetch a reported ticket, which doubles with each attempt. It
	// limits the load while neither a peer nor the store has the ticket, for example because a heartbeat was wrong:
	// each attempt reads all tickets in the store.
	maxLagDelay = 30 * time.Second
	// peerInterval is the time between two attempts of an instance that is not ready to fetch tickets from its peers.
	peerInterval = 500 * time.Millisecond
)

// errNoPeer is returned when the tickets of no peer could be fetched and applied.
var errNoPeer = errors.New("no peer responded with usable tickets")

// peerFetcher fetches tickets from peers: when the instance starts and the store is unreachable, and when the heartbeat
// of a peer reports a higher number than the watch has delivered.
type peerFetcher struct {
	ticketLog *ticketLog
	peers     func() []PeerSource
	log       *slog.Logger
	// storeFailed is closed after the first failure to read or watch the store.
	storeFailed <-chan struct{}

	mu sync.Mutex
	// reported is the highest number of an applied ticket that a peer has reported.
	reported int64
	// wake receives a value when reported has changed.
	wake chan struct{}
}

// recordReported records the number of the last applied ticket that a peer reported.
func (f *peerFetcher) recordReported(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number <= f.reported {
		return
	}
	f.reported = number
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *peerFetcher) run(ctx context.Context) error {
	f.fetchUntilReady(ctx)
	for ctx.Err() == nil {
		select {
		case <-f.wake:
			f.catchUp(ctx)
		case <-ctx.Done():
		}
	}
	return nil
}

// fetchUntilReady fetches tickets from peers until the instance is ready. It begins when the store has failed or
// storeGrace has passed, and does nothing if the tickets have been read from the store by then.
func (f *peerFetcher) fetchUntilReady(ctx context.Context) {
	grace := time.NewTimer(storeGrace)
	defer grace.Stop()
	select {
	case <-f.storeFailed:
	case <-grace.C:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && !f.isReady() {
		if err := f.fetchFromPeers(ctx); err == nil {
			f.ticketLog.holder.markReady()
			return
		}
		timekeeper.Sleep(ctx, peerInterval)
	}
}

func (f *peerFetcher) isReady() bool {
	_, ready := f.ticketLog.holder.current()
	return ready
}

// catchUp fetches the tickets that a peer reported from the peers and then from the store, unless the watch delivers
// them in time.
func (f *peerFetcher) catchUp(ctx context.Context) {
	for delay := lagGrace; ctx.Err() == nil; delay = min(2*delay, maxLagDelay) {
		timekeeper.Sleep(ctx, delay)
		if !f.lags() {
			return
		}
		if err := f.fetchFromPeers(ctx); err != nil {
			f.log.DebugContext(ctx, "could not fetch tickets from peers", "Error", err.Error())
		}
		if !f.lags() {
			return
		}
		if _, err := f.ticketLog.resync(ctx); err != nil {
			f.log.DebugContext(ctx, "could not fetch tickets from the store", "Error", err.Error())
		}
	}
}

// lags reports whether a peer has applied a later ticket than this instance.
func (f *peerFetcher) lags() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current, _ := f.ticketLog.holder.current()
	return current.state.Applied() < f.reported
}

// fetchFromPeers sends a request to all peers concurrently and applies the batches that they return. The highest number
// wins, regardless of the order of the responses. The error is nil if the batch of at least one peer was applied.
func (f *peerFetcher) fetchFromPeers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	current, _ := f.ticketLog.holder.current()
	peers := f.peers()
	results := make(chan error, len(peers))
	for _, peer := range peers {
		go func() { results <- f.fetchFromPeer(ctx, peer, current.state.Applied()) }()
	}
	err := errNoPeer
	for range peers {
		if one := <-results; one == nil {
			err = nil
		}
	}
	return err
}

// fetchFromPeer applies the tickets after a number that one peer returns.
func (f *peerFetcher) fetchFromPeer(ctx context.Context, peer PeerSource, after int64) error {
	batch, err := peer.Tickets(ctx, after)
	if err != nil {
		return errors.Wrap(err, "fetch tickets from peer")
	}
	decoded, err := batch.decode()
	if err != nil {
		return err
	}
	return f.ticketLog.holder.update(func(j journal) (journal, error) { return j.withBatch(decoded) })
}
