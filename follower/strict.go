package follower

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/timekeeper"
)

const (
	// proofInterval is the time between the starts of two rounds of proofs; owners read the store in each, see docs/hard-load.md.
	proofInterval = time.Second
	// nextAfter is how long a source of a proof may take before the next one is asked, too. A store that is 60 times slower than
	// usual (4 ms) answers within it, and an owner with its proof on any link that is not cut.
	nextAfter = 300 * time.Millisecond
	// nextAfterNoticed is the same for a change that the watch has noticed: an owner may wait for it for peerWait.
	nextAfterNoticed = peerWait + 100*time.Millisecond
	// strictReadTimeout bounds a read of the store after the first one. The store's client notices silence earlier; a longer read
	// makes progress, but its proof would be too old to be of use.
	strictReadTimeout = 10 * time.Second
)

// goal is what a round of questions is to show: that no configuration is newer than a time, or a newer one than a revision.
type goal struct {
	provenAfter time.Time
	// noticedAt is set if a watch has noticed a change.
	noticedAt time.Time
	// known is the revision that the change, if any, has to exceed.
	known int64
}

func (g goal) noticed() bool {
	return !g.noticedAt.IsZero()
}

// reachedBy reports whether a finding alone reaches the goal.
func (g goal) reachedBy(found finding) bool {
	newer := g.noticed() && found.reading.Newer != nil && found.reading.Newer.Revision > g.known
	return newer || !found.provenAt.Before(g.provenAfter)
}

// source is one way to get a proof. It reports whether its result reaches the goal.
type source func(ctx context.Context, g goal) bool

// runStrict follows the configuration and keeps its proof fresh. Watches, reads of the store and questions to owners are
// independent, so that one that hangs does not delay the others.
func (f *Follower) runStrict(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.watchChanges(ctx, &group) })
	for ctx.Err() == nil {
		startedAt := time.Now()
		f.round(ctx, &group, goal{provenAfter: f.freshness.Clock.Now().Add(-f.freshness.Enough)})
		interval := proofInterval
		if f.firstReadFailed() {
			interval = firstRetryInterval
		}
		timekeeper.Sleep(ctx, interval-time.Since(startedAt))
	}
	group.Wait()
}

func (f *Follower) firstReadFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision() == 0 && f.readFailing
}

// watchChanges gets changes as soon as a watch notices them. Watches are no proof: they may omit changes.
func (f *Follower) watchChanges(ctx context.Context, group *sync.WaitGroup) {
	// The first read needs no watch.
	if _, _, err := f.latest.Await(ctx, 0); err != nil {
		return
	}
	for ctx.Err() == nil {
		after := f.readRevision()
		change, err := f.source.AwaitChange(ctx, after, watchTime)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			f.watchFailed(ctx, err)
			timekeeper.Sleep(ctx, retryInterval)
		case !change.Changed:
			f.watched(change.StoreRevision)
		case f.readRevision() > after:
			// A read that ended since then may have found the change; the next watch reports it if not.
		default:
			f.watched(after)
			f.getChange(ctx, group)
		}
	}
}

func (f *Follower) getChange(ctx context.Context, group *sync.WaitGroup) {
	g := goal{provenAfter: f.freshness.Clock.Now(), noticedAt: time.Now(), known: f.knownRevision()}
	f.logger.Info("configuration has changed in the store", "InForce", f.knownVersion())
	f.round(ctx, group, g)
	if f.knownRevision() == g.known {
		// The store reports changes that are none, or nobody can be asked.
		timekeeper.Sleep(ctx, retryInterval)
	}
}

// round asks the sources one after the other until one reaches the goal: the next one when one has failed or has not answered in time.
// An earlier proof that is still fresh enough does not count, as it would delay the next one to the next round. A round ends after
// proofInterval, or after the time for two sources if that is longer; attempts that still wait go on and are applied when they end.
func (f *Follower) round(ctx context.Context, group *sync.WaitGroup, g goal) {
	patience := nextAfter
	if g.noticed() {
		patience = nextAfterNoticed
	}
	end := time.NewTimer(max(proofInterval, 2*patience))
	defer end.Stop()
	pending := 0
	ended := make(chan bool, 1+maxOwnersAsked)
	sources := f.sources()
	for len(sources) > 0 || pending > 0 {
		var next <-chan time.Time
		if len(sources) > 0 {
			attempt := sources[0]
			sources = sources[1:]
			pending++
			group.Go(func() { ended <- attempt(ctx, g) })
		}
		if len(sources) > 0 {
			next = time.After(patience)
		}
		select {
		case reached := <-ended:
			pending--
			if reached {
				return
			}
		case <-next:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
		if g.noticed() && f.knownRevision() > g.known {
			return
		}
	}
}

// maxOwnersAsked bounds the owners that a round asks; a cell has at most eight shards.
const maxOwnersAsked = 8

// sources returns the sources of proofs in the order in which they are asked. Only owners, and instances without a configuration,
// begin with the store.
func (f *Follower) sources() []source {
	owners := f.freshness.Owners()
	asked := make([]source, 0, len(owners)+1)
	for _, owner := range owners[:min(len(owners), maxOwnersAsked)] {
		asked = append(asked, func(ctx context.Context, g goal) bool { return f.ask(ctx, owner, g) })
	}
	if f.knownRevision() == 0 || f.freshness.ReadsStore() {
		return append([]source{f.readStore}, asked...)
	}
	return append(asked, f.readStore)
}

// ask asks an owner for a newer configuration and for its proof. The proof is dated at the time of the question less its age, which
// is never later than the owner dates it.
func (f *Follower) ask(ctx context.Context, owner Peer, g goal) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	wait := time.Duration(0)
	if g.noticed() {
		wait = peerWait
	}
	found := finding{fromPeer: true, noticedAt: g.noticedAt, startedAt: time.Now()}
	askedAt := f.freshness.Clock.Now()
	answer, err := owner(ctx, f.knownRevision(), wait)
	if errors.Is(err, ErrNoPeer) {
		return false
	}
	if err == nil && len(answer.Data) > 0 {
		decodedFrom := time.Now()
		found.reading.Bytes = len(answer.Data)
		found.reading.Newer, err = Decode(answer.Data)
		found.reading.DecodeTime = time.Since(decodedFrom)
	}
	if err != nil {
		f.meter.Count("Configuration.PeerFailures", 1)
		return false
	}
	known := f.knownRevision()
	if found.reading.Newer != nil {
		// The watch goes on after the revision of the owner's configuration, and so finds changes since.
		found.reading.StoreRevision = found.reading.Newer.Revision
		known = max(known, found.reading.Newer.Revision)
	}
	if answer.Proven && answer.Revision <= known {
		found.provenAt = askedAt.Add(-max(answer.Age, 0))
	}
	f.learn(found)
	return g.reachedBy(found)
}

// readStore reads the configuration from the store, one read at a time. A regular read is left out while another one is in flight,
// whose result counts as well; a noticed change needs a read that begins after it.
func (f *Follower) readStore(ctx context.Context, g goal) bool {
	if !f.takeRead(ctx, g.noticed()) {
		return false
	}
	defer func() { <-f.reading }()
	known := f.knownRevision()
	readCtx, cancel := ctx, context.CancelFunc(func() {})
	if known > 0 {
		readCtx, cancel = context.WithTimeout(ctx, strictReadTimeout)
	}
	defer cancel()
	found := finding{noticedAt: g.noticedAt, startedAt: time.Now()}
	startedAt := f.freshness.Clock.Now()
	reading, err := f.source.Configuration(readCtx, known)
	if err != nil {
		f.readFailed(ctx, err, time.Since(found.startedAt))
		return false
	}
	found.reading = reading
	if !reading.Outdated {
		found.provenAt = startedAt
	}
	f.learn(found)
	return g.reachedBy(found)
}

// takeRead reserves the read of the store, and reports whether it has.
func (f *Follower) takeRead(ctx context.Context, waits bool) bool {
	select {
	case f.reading <- struct{}{}:
		return true
	default:
	}
	if !waits {
		return false
	}
	select {
	case f.reading <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// watched records the end of a watch that the store served.
func (f *Follower) watched(revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watchFailing = false
	f.storeRevision = max(f.storeRevision, revision)
	f.publish(true)
}

func (f *Follower) watchFailed(ctx context.Context, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteFailure(ctx, &f.watchFailing, "configuration cannot be watched", err, 0)
}

func (f *Follower) readFailed(ctx context.Context, err error, taken time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ctx.Err() == nil {
		f.meter.Count("Configuration.ReadFailures", 1)
	}
	f.noteFailure(ctx, &f.readFailing, "configuration cannot be read", err, taken)
}

// noteFailure logs the first of consecutive failures.
func (f *Follower) noteFailure(ctx context.Context, failing *bool, message string, err error, taken time.Duration) {
	if ctx.Err() != nil {
		return
	}
	if !*failing {
		f.logger.Warn(message, "InForce", f.version(), "ReadTime", taken.String(), "Error", err.Error())
	}
	*failing = true
	f.publish(false)
}

func (f *Follower) knownVersion() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version()
}
