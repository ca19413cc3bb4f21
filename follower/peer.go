package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/specifier"
)

const (
	// peerTimeout bounds a call to a peer. The configuration is read from the store after it.
	peerTimeout = 900 * time.Millisecond
	// peerCheckInterval is the time between two questions to a peer without a noticed change. They replace the reads that find
	// what watches miss, and are shorter apart because the peer may have missed the change, too.
	peerCheckInterval = time.Second
	// peerWait is how long a peer waits for a configuration that a watch has announced.
	peerWait = 500 * time.Millisecond
	// peerPause is how long peers are not asked after a call that failed or did not find an announced change.
	peerPause = 10 * time.Second
	// maxPeerBytes bounds an encoded configuration that is sent to peers. A larger one would not arrive within peerTimeout over
	// a small link.
	maxPeerBytes = 512 << 10
)

// ErrNoPeer is returned when there is no other instance that can tell the newest configuration.
var ErrNoPeer = errors.New("no peer knows the newest configuration")

// Peer asks another instance, which reads the store itself, for its configuration if that has a higher revision than the known
// one. The answer has no data if there is none newer after the given time.
type Peer func(ctx context.Context, known int64, wait time.Duration) (Answer, error)

// Answer answers a peer: it waits for a configuration with a higher revision than the known one. Without proofs, its error is
// ErrNoPeer if the store did not serve this instance, or if the configuration is too large to send. With proofs, the age in the
// answer shows what it is worth.
func (f *Follower) Answer(ctx context.Context, known int64, wait time.Duration) (Answer, error) {
	if f.freshness == nil {
		data, err := f.newer(ctx, known, wait)
		return Answer{Data: data}, err
	}
	f.awaitNewer(ctx, known, min(wait, peerWait))
	proof := f.Proof()
	if proof.Configuration == nil {
		return Answer{}, ErrNoPeer
	}
	answer := Answer{Revision: proof.Configuration.Revision, Proven: !proof.At.IsZero()}
	if proof.Configuration.Revision > known {
		data, err := f.encoded(proof.Configuration)
		if err != nil && !errors.Is(err, ErrNoPeer) {
			return Answer{}, err
		}
		// A configuration that is too large to send has no data; its revision shows that it exists.
		answer.Data = data
	}
	answer.Age = f.freshness.Clock.Now().Sub(proof.At)
	return answer, nil
}

func (f *Follower) awaitNewer(ctx context.Context, known int64, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for wait > 0 {
		update, sequence := f.latest.Get()
		if update.Configuration != nil && update.Configuration.Revision > known {
			return
		}
		if _, _, err := f.latest.Await(ctx, sequence); err != nil {
			return
		}
	}
}

func (f *Follower) newer(ctx context.Context, known int64, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, min(wait, peerWait))
	defer cancel()
	var seen uint64
	for {
		update, sequence := f.latest.Get()
		if sequence == 0 || !update.Served {
			return nil, ErrNoPeer
		}
		if update.Configuration != nil && update.Configuration.Revision > known {
			return f.encoded(update.Configuration)
		}
		seen = sequence
		if _, _, err := f.latest.Await(ctx, seen); err != nil {
			return nil, nil
		}
	}
}

// encoded returns a configuration for peers. It is encoded once, however many peers ask for it.
func (f *Follower) encoded(configuration *specifier.Configuration) ([]byte, error) {
	f.encodedMu.Lock()
	defer f.encodedMu.Unlock()
	if f.encodedRevision != configuration.Revision {
		data, err := Encode(configuration)
		if err != nil {
			return nil, err
		}
		f.encodedRevision, f.encodedData = configuration.Revision, data
	}
	if len(f.encodedData) > maxPeerBytes {
		return nil, ErrNoPeer
	}
	return f.encodedData, nil
}

// readFromPeer reads a newer configuration from a peer, or learns from it that there is none. It reports false when the store
// has to be read: without a peer, and when a watch has announced a change that the peer does not know.
func (f *Follower) readFromPeer(ctx context.Context) (Reading, bool) {
	if f.peer == nil || f.newest.Configuration == nil || time.Now().Before(f.peerNotBefore) {
		return Reading{}, false
	}
	noticed := !f.noticedAt.IsZero()
	wait := time.Duration(0)
	if noticed {
		wait = peerWait
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answer, err := f.peer(ctx, f.revision(), wait)
	data := answer.Data
	if errors.Is(err, ErrNoPeer) {
		return Reading{}, false
	}
	if err == nil && len(data) == 0 && !noticed {
		return Reading{}, true
	}
	reading := Reading{Bytes: len(data)}
	decodedFrom := time.Now()
	if err == nil {
		reading.Newer, err = Decode(data)
	}
	if err != nil || reading.Newer.Revision <= f.revision() {
		f.meter.Count("Configuration.PeerFailures", 1)
		f.peerNotBefore = time.Now().Add(peerPause)
		return Reading{}, false
	}
	reading.DecodeTime = time.Since(decodedFrom)
	// The watch goes on after the revision of the peer's configuration, and so finds changes since.
	reading.StoreRevision = reading.Newer.Revision
	return reading, true
}
