package sharder

import (
	"sync"
	"time"

	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/classifier"
	"egretring.example/egretring/follower"
	"egretring.example/egretring/specifier"
)

// Keys are the settings of the keys of teams.
type Keys struct {
	// Required is set where calls carry keys. Without it, they do once the configuration has teams.
	Required bool
	Bounds   authorizer.Bounds
}

// freshnessLog logs when keys begin to be refused because the configuration cannot be shown to be fresh, and when that ends.
type freshnessLog struct {
	mu sync.Mutex
	// staleSince is when the first call was refused; zero while calls are accepted.
	staleSince time.Time
}

// Authorize returns the caller to whom a key belongs, or why the key may not use the queue.
func (s *Sharder) Authorize(queue specifier.Queue, key string) (specifier.Caller, error) {
	proof := s.configurations.Proof()
	if proof.Configuration == nil {
		return specifier.Caller{}, classifier.New(classifier.NotReady, "no configuration has been read yet")
	}
	teams := proof.Configuration.Teams
	if !s.keys.Required && teams.Len() == 0 {
		return specifier.Caller{Unchecked: true}, nil
	}
	// The clock is read after the call has arrived, and so after it was sent.
	freshness := authorizer.Freshness{Proven: !proof.At.IsZero(), Age: s.clock.Now().Sub(proof.At)}
	decision := authorizer.Decide(teams, authorizer.Call{Key: key, Public: queue.Public}, freshness, s.keys.Bounds)
	version := proof.Configuration.Version
	switch {
	case decision.Verdict == authorizer.Accepted:
		s.meter.Count("Keys.Accepted", 1)
		if !queue.Public {
			s.logFresh(version)
		}
		return decision.Caller, nil
	case decision.Verdict == authorizer.NotFresh:
		s.meter.Count("Keys.NotFresh", 1)
		s.logStale(version, freshness)
		return specifier.Caller{}, s.errNotFresh(version, freshness)
	case key == "":
		s.meter.Count("Keys.Unknown", 1)
		return specifier.Caller{}, classifier.New(classifier.Unauthorized, "queue %s needs the key of a team; the call has none", queue.Name)
	default:
		s.meter.Count("Keys.Unknown", 1)
		return specifier.Caller{}, classifier.New(classifier.Unauthorized, "the key belongs to no team of configuration version %d", version)
	}
}

func (s *Sharder) errNotFresh(version int64, freshness authorizer.Freshness) error {
	if !freshness.Proven {
		return classifier.New(classifier.NotReady, "this key's configuration could not be shown to be fresh: version %d was never shown to "+
			"be the newest", version)
	}
	return classifier.New(classifier.NotReady, "this key's configuration could not be shown to be fresh: version %d was last shown to be "+
		"the newest %s ago; known keys are accepted for %s and unknown ones refused for %s", version, freshness.Age.Round(time.Millisecond),
		s.keys.Bounds.MaxAge(), s.keys.Bounds.MaxAgeOfRefusal())
}

func (s *Sharder) logStale(version int64, freshness authorizer.Freshness) {
	s.freshnessLog.mu.Lock()
	defer s.freshnessLog.mu.Unlock()
	if !s.freshnessLog.staleSince.IsZero() || freshness.Proven && freshness.Age <= s.keys.Bounds.MaxAge() {
		return
	}
	s.freshnessLog.staleSince = s.clock.Now()
	s.logger.Warn("configuration cannot be shown to be fresh; calls with keys are refused", "Version", version, "Proven", freshness.Proven,
		"Age", freshness.Age.String(), "MaxAge", s.keys.Bounds.MaxAge().String())
}

func (s *Sharder) logFresh(version int64) {
	s.freshnessLog.mu.Lock()
	defer s.freshnessLog.mu.Unlock()
	if s.freshnessLog.staleSince.IsZero() {
		return
	}
	s.logger.Info("configuration is shown to be fresh again", "Version", version,
		"RefusedFor", s.clock.Now().Sub(s.freshnessLog.staleSince).String())
	s.freshnessLog.staleSince = time.Time{}
}

// followerOption returns how the configuration is followed: with proofs where keys are strict.
func (s *Sharder) followerOption() follower.Option {
	if !s.keys.Bounds.Strict() {
		return follower.WithPeer(s.newerConfiguration)
	}
	return follower.WithFreshness(follower.Freshness{
		Clock: s.clock, Enough: follower.EnoughFor(s.keys.Bounds.MaxAgeOfRefusal()), Owners: s.owners, ReadsStore: s.IsOwner,
	})
}

// owners returns the owners of all shards in the order in which this instance asks them: the instances are spread over the shards.
func (s *Sharder) owners() []follower.Peer {
	shards := s.coordinators()
	owners := make([]follower.Peer, 0, len(shards))
	for i := range shards {
		owners = append(owners, shards[(hashOf(s.instance)+i)%len(shards)].NewerConfiguration)
	}
	return owners
}
