package follower

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/timekeeper"
)

const (
	// watchTime is how long a watch waits for a change. A watch whose connection has gone silent is noticed after it.
	watchTime = time.Second
	// minReadInterval is the shortest time between two reads without a noticed change. They find the changes that watches
	// miss: a store that is about to compact its history omits some.
	minReadInterval = 2 * time.Second
	// readIntervalFactor times the duration of a read is the time until the next one without a noticed change, so that these
	// reads take at most a sixth of a link.
	readIntervalFactor = 5
	// retryInterval is the pause after a failed call, and firstRetryInterval the one before there is a configuration.
	retryInterval      = 250 * time.Millisecond
	firstRetryInterval = 60 * time.Millisecond
)

// Follower follows the configuration of the store for one instance.
type Follower struct {
	source Source
	logger *slog.Logger
	meter  *meter.Meter
	latest *buffer.Latest[Update]

	// freshness is nil if no proof is kept. The fields below belong to the goroutine of Run without it, and are guarded by mu with it.
	freshness *Freshness
	mu        sync.Mutex
	// newest is the newest update.
	newest        Update
	storeRevision int64
	// readAt is when the configuration is read next, unless a change is noticed earlier.
	readAt time.Time
	// noticedAt is when a change was noticed that has not been read yet; zero if there is none.
	noticedAt time.Time
	// failing reports whether the last call failed.
	failing bool
	// peer is nil if the configuration is always read from the store. It is not asked before peerNotBefore.
	peer          Peer
	peerNotBefore time.Time

	// provenAt is when newest was last shown to be the newest configuration; zero if never.
	provenAt time.Time
	// readFailing and watchFailing report whether the last read and the last watch failed.
	readFailing, watchFailing bool
	// reading holds an element while a read of the store is in flight.
	reading chan struct{}

	encodedMu       sync.Mutex
	encodedRevision int64
	encodedData     []byte
}

// New returns a follower that does nothing until Run.
func New(source Source, options ...Option) *Follower {
	f := &Follower{
		source: source, logger: slog.Default(), meter: meter.New(), latest: buffer.NewLatest[Update](), reading: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Await waits for an update that is newer than the one with the given sequence number; see buffer.Latest.
func (f *Follower) Await(ctx context.Context, seen uint64) (Update, uint64, error) {
	return f.latest.Await(ctx, seen)
}

// Run follows the configuration until the context ends. An older configuration never replaces a newer one.
func (f *Follower) Run(ctx context.Context) {
	if f.freshness != nil {
		f.runStrict(ctx)
		return
	}
	for ctx.Err() == nil {
		if time.Now().Before(f.readAt) {
			f.await(ctx)
		} else {
			f.read(ctx)
		}
	}
}

// await waits for a change until the next read is due.
func (f *Follower) await(ctx context.Context) {
	change, err := f.source.AwaitChange(ctx, f.storeRevision, min(watchTime, time.Until(f.readAt)))
	if err != nil {
		// The watch may have missed a change.
		f.readAt = time.Now()
		f.fail(ctx, "configuration cannot be watched", err, 0)
		return
	}
	f.failing = false
	if change.Changed {
		f.noticedAt = time.Now()
		f.readAt = f.noticedAt
		f.logger.Info("configuration has changed in the store", "InForce", f.version())
	} else {
		f.storeRevision = max(f.storeRevision, change.StoreRevision)
	}
	f.publish(true)
}

// read reads the configuration and makes a newer one known.
func (f *Follower) read(ctx context.Context) {
	startedAt := time.Now()
	var err error
	reading, fromPeer := f.readFromPeer(ctx)
	if !fromPeer {
		reading, err = f.source.Configuration(ctx, f.revision())
	}
	now := time.Now()
	readTime := now.Sub(startedAt)
	if err != nil {
		f.meter.Count("Configuration.ReadFailures", 1)
		f.fail(ctx, "configuration cannot be read", err, readTime)
		return
	}
	f.failing = false
	f.meter.Observe("Configuration.ReadMicroseconds", readTime)
	f.readAt = now.Add(max(minReadInterval, readIntervalFactor*readTime))
	if fromPeer {
		f.readAt = now.Add(peerCheckInterval)
	}
	f.storeRevision = max(f.storeRevision, reading.StoreRevision)
	newer := reading.Newer != nil && reading.Newer.Revision > f.revision()
	if newer {
		f.accept(reading, fromPeer, startedAt, now)
	}
	// The response of a peer does not show that the store serves this instance.
	f.publish(!fromPeer || f.newest.Served)
	noticed := !f.noticedAt.IsZero()
	f.noticedAt = time.Time{}
	if noticed && !newer {
		// The store reports changes that are none; reading them at its pace would fill the link.
		timekeeper.Sleep(ctx, retryInterval)
	}
}

func (f *Follower) accept(reading Reading, fromPeer bool, startedAt, now time.Time) {
	foundBy := "Watch"
	if f.noticedAt.IsZero() {
		foundBy, f.noticedAt = "Read", startedAt
	}
	f.logger.Info("configuration read", "Version", reading.Newer.Version, "Revision", reading.Newer.Revision, "InForce", f.version(),
		"FoundBy", foundBy, "FromPeer", fromPeer, "SinceNoticed", now.Sub(f.noticedAt).String(), "ReadTime", now.Sub(startedAt).String(),
		"DecodeTime", reading.DecodeTime.String(), "Bytes", reading.Bytes)
	f.newest.Configuration, f.newest.NoticedAt = reading.Newer, f.noticedAt
	f.meter.Set("Configuration.Version", reading.Newer.Version)
}

// fail logs the first of consecutive failures and waits before the next attempt.
func (f *Follower) fail(ctx context.Context, message string, err error, taken time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if !f.failing {
		f.logger.Warn(message, "InForce", f.version(), "ReadTime", taken.String(), "Error", err.Error())
	}
	f.failing = true
	f.publish(false)
	if f.newest.Configuration == nil {
		timekeeper.Sleep(ctx, firstRetryInterval)
	} else {
		timekeeper.Sleep(ctx, retryInterval)
	}
}

func (f *Follower) publish(served bool) {
	f.newest.Served = served
	f.latest.Set(f.newest)
}

// version returns the version of the newest configuration that has been read, or zero.
func (f *Follower) version() int64 {
	if f.newest.Configuration == nil {
		return 0
	}
	return f.newest.Configuration.Version
}

func (f *Follower) revision() int64 {
	if f.newest.Configuration == nil {
		return 0
	}
	return f.newest.Configuration.Revision
}
