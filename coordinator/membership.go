package coordinator

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

const (
	// candidates is how many instances notice within candidateWatchTime that a shard has no owner, even if the store does not
	// report it to them.
	candidates = 8
	// candidateWatchTime and standbyWatchTime are how long candidates and all other instances wait for a change of the owner
	// before they read it again.
	candidateWatchTime = 2 * time.Second
	standbyWatchTime   = 12 * time.Second
	// candidateInterval is how often an instance reads the members to find out whether it is a candidate. The first time is earlier,
	// because the instances of a cell start one after the other.
	candidateInterval      = 10 * time.Second
	firstCandidateInterval = 2 * time.Second
	// callInterval is the time between two calls to the store for which all instances of a cell aim when they make the same call
	// for each shard: a thousand a second, of the 2,000 reads that the smallest store admits.
	callInterval = time.Millisecond
	// minStandbySpread is the spread from which instances that are no candidates wait for these in elections. In smaller cells the
	// calls of all of them take less than 0.2 s.
	minStandbySpread = 200 * time.Millisecond
	// standbyTime is how long they wait at least: a candidate needs about 0.2 s.
	standbyTime = time.Second
)

// Membership is the registration of an instance, and its view of the other ones. The coordinators of all shards of an instance
// share it, so that its cost does not grow with the shards.
type Membership struct {
	store keeper.TransactionalStore
	self  member
	mu    sync.Mutex
	// known are the members when they were last read; nil before. missing are those that may register again.
	known   []member
	missing missingMembers
	// read is closed once the members have been read.
	read     chan struct{}
	readOnce sync.Once
}

// NewMembership returns the membership of an instance that other instances call at an address. The store has the members of
// the whole cell.
func NewMembership(store keeper.TransactionalStore, instance, address string, processors float64) *Membership {
	return &Membership{
		store: store, self: member{Instance: instance, Address: address, Processors: processors}, read: make(chan struct{}),
		missing: make(missingMembers),
	}
}

// Await waits until the members have been read, for at most a given time. An instance that does not know them takes part in the
// elections of all shards like a candidate.
func (m *Membership) Await(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-m.read:
	case <-ctx.Done():
	}
}

// Run registers the instance and follows the members until the context ends.
func (m *Membership) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { m.keep(ctx) })
	group.Go(func() {
		interval := firstCandidateInterval
		for ctx.Err() == nil {
			_, err := m.members(ctx)
			if err != nil {
				timekeeper.Sleep(ctx, retryInterval*4)
				continue
			}
			timekeeper.Sleep(ctx, interval)
			interval = candidateInterval
		}
	})
	group.Wait()
}

// watchTime returns how long the instance waits for a change of the owner of a shard.
func (m *Membership) watchTime(shard string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if isCandidate(m.self, m.known, shard) {
		return candidateWatchTime
	}
	return standbyWatchTime
}

// spread returns the time over which the instances of a cell spread a call that each of them makes for each shard.
func (m *Membership) spread(shards int) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(shards*len(m.known)) * callInterval
}

// standby returns how long the instance waits for the candidates of a shard in an election.
func (m *Membership) standby(shard string, shards int) time.Duration {
	spread := m.spread(shards)
	m.mu.Lock()
	defer m.mu.Unlock()
	if spread < minStandbySpread || isCandidate(m.self, m.known, shard) {
		return 0
	}
	return standbyTime + rand.N(spread)
}

// isCandidate reports whether an instance is one of the candidates of a shard: the largest members, and among those of similar
// size the ones that rendezvous hashing prefers for the shard.
func isCandidate(self member, members []member, shard string) bool {
	better := 0
	for _, other := range members {
		if other.Instance != self.Instance && compareCandidates(other, self, shard) < 0 {
			better++
		}
	}
	return better < candidates
}

// compareCandidates orders the better candidate of a shard first.
func compareCandidates(a, b member, shard string) int {
	switch {
	case a.Processors > largerFactor*b.Processors:
		return -1
	case b.Processors > largerFactor*a.Processors:
		return 1
	}
	return cmp.Or(cmp.Compare(rendezvous(b.Instance, shard), rendezvous(a.Instance, shard)), cmp.Compare(a.Instance, b.Instance))
}

// rendezvous returns the weight of an instance for a shard. Hashes like FNV order the instances alike for all shards, because the
// last bytes of a text hardly change their high bits.
func rendezvous(instance, shard string) uint64 {
	sum := sha256.Sum256([]byte(instance + "/" + shard))
	return binary.BigEndian.Uint64(sum[:])
}

// electors reads all registered instances, and adds those that may register again.
func (m *Membership) electors(ctx context.Context) ([]member, error) {
	members, err := m.members(ctx)
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, missing := range m.missing {
		members = append(members, missing.member)
	}
	return members, nil
}

func (m *Membership) setKnown(members []member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.missing.update(time.Now(), m.known, members)
	m.known = slices.Clone(members)
	m.readOnce.Do(func() { close(m.read) })
}
