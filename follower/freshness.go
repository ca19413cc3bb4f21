package follower

import (
	"time"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// Freshness makes a follower keep a proof of how fresh its configuration is: the start of a read of the store that showed the
// configuration to be the newest. The read may be that of an owner, which passes it on with its age.
type Freshness struct {
	// Clock dates proofs. It must neither step nor stop while the process or the machine is suspended.
	Clock timekeeper.Clock
	// Enough is the age of a proof up to which an owner's answer makes a read of the store unnecessary.
	Enough time.Duration
	// Owners returns the owners to ask, in the order in which they are asked. Those that are this instance itself return ErrNoPeer.
	Owners func() []Peer
	// ReadsStore reports whether this instance reads the store itself, because others ask it.
	ReadsStore func() bool
}

// WithFreshness makes the follower keep proofs and read on the schedule that they need. It takes the place of WithPeer.
func WithFreshness(freshness Freshness) Option {
	return func(f *Follower) { f.freshness = &freshness }
}

// Answer is what an instance tells another one about its configuration.
type Answer struct {
	// Data is the configuration, encoded with Encode; it is empty if there is none newer than the known one.
	Data []byte
	// Revision is the revision of the configuration that the instance knows.
	Revision int64
	// Proven is set if the instance has a proof that no configuration with a higher revision was confirmed before it; Age is that
	// of the proof when the answer was sent.
	Proven bool
	Age    time.Duration
}

// Proof is a configuration, and when it was shown to be the newest.
type Proof struct {
	// Configuration is nil until one has been read.
	Configuration *specifier.Configuration
	// At is on the clock of the Freshness; it is zero without a proof.
	At time.Time
}

// Proof returns the newest configuration with its proof. Without WithFreshness there is no proof.
func (f *Follower) Proof() Proof {
	if f.freshness == nil {
		update, _ := f.latest.Get()
		return Proof{Configuration: update.Configuration}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return Proof{Configuration: f.newest.Configuration, At: f.provenAt}
}

// IsStrict reports whether the follower keeps proofs.
func (f *Follower) IsStrict() bool {
	return f.freshness != nil
}

// finding is the result of a read, or of a question to an owner.
type finding struct {
	reading Reading
	// provenAt is a time before which no configuration was confirmed that is newer than those known after the finding; zero if the
	// finding shows none.
	provenAt  time.Time
	fromPeer  bool
	noticedAt time.Time
	startedAt time.Time
}

// learn applies a finding.
func (f *Follower) learn(found finding) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRevision = max(f.storeRevision, found.reading.StoreRevision)
	newer := found.reading.Newer != nil && found.reading.Newer.Revision > f.revision()
	if newer {
		f.noticedAt = found.noticedAt
		f.accept(found.reading, found.fromPeer, found.startedAt, time.Now())
		f.noticedAt = time.Time{}
	}
	if found.provenAt.After(f.provenAt) {
		f.provenAt = found.provenAt
		f.meter.Observe("Configuration.ProofAgeMicroseconds", f.freshness.Clock.Now().Sub(found.provenAt))
	}
	switch {
	case !found.fromPeer:
		f.readFailing = false
		f.meter.Observe("Configuration.ReadMicroseconds", time.Since(found.startedAt))
		f.publish(true)
	case newer:
		// The answer of an owner does not show that the store serves this instance.
		f.publish(f.newest.Served)
	}
}

func (f *Follower) knownRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision()
}

func (f *Follower) readRevision() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeRevision
}

// EnoughFor returns the Enough of a Freshness with which proofs stay younger than an age until the next one is there: after a whole
// interval, and if the first owner that is asked then does not answer. It is at least the age that an owner's proof may have when its
// store is slow.
func EnoughFor(maxAge time.Duration) time.Duration {
	return max(maxAge-proofInterval-nextAfter, proofInterval+nextAfter)
}
