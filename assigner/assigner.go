package assigner

import (
	"math"
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

const (
	// LeaseTTL is the time to live of a member's store lease.
	LeaseTTL = 9 * time.Second
	// LeaseMargin is how much earlier than the store the holder considers its lease expired. It covers the difference
	// between the rates of the two clocks.
	LeaseMargin = time.Second
	// TakeoverMargin is how long a lease must be seen absent before its holder is taken over. It covers work that the
	// holder sent just before its deadline and that is still on its way.
	TakeoverMargin = 2 * time.Second
	// PeerTimeout is how long a heartbeat counts as recent: four heartbeat intervals.
	PeerTimeout = 2 * time.Second
	// SampleMargin is how much later than the stop of an owner a usage report must be sampled. It covers the
	// difference between the clocks of the backend server and the writer of the record.
	SampleMargin = time.Second
	// QuarantineMinimum is how long a stopped holder stays in the record. It exceeds the lag of the instance list, so
	// that no backend server that the holder has used is missing when a member reports the quarantine ended.
	QuarantineMinimum = 30 * time.Second
	// ReplacementWait is how long a takeover leaves the positions to a new incarnation of the same instance, which
	// keeps them together.
	ReplacementWait = 6 * time.Second
)

// allEpochs is the released epoch of a leaving member that has no work left.
const allEpochs = describer.Epoch(math.MaxInt64)

// Assigner is the state machine of one member of a zone.
type Assigner struct {
	self    Member
	leaving bool
	// departed is true after Depart.
	departed bool
	newID    func() string

	reachable bool
	lease     lease

	// record is the newest known record. adopted is the one whose shares are in use; it is older while a hold agreement
	// for an earlier epoch is the only right to start work.
	record        Assignment
	version       int64
	known         bool
	adopted       Assignment
	leases        []Owner
	leasesVersion int64
	leasesAt      time.Time
	absentSince   map[Owner]time.Time

	write  *write
	reread bool
	// removed is true when the member may have been in a record and is no longer.
	removed bool
	// unresolvedTakeover is the version that a takeover of this member replaces, until a newer version is known.
	unresolvedTakeover int64

	acknowledged describer.Epoch
	held         describer.Epoch
	peers        map[Owner]*peer
	// declared holds the newest incarnation of an instance that an operator declared dead.
	declared map[describer.InstanceID]describer.Incarnation

	servers map[describer.BackendServerID]*server
	order   []describer.BackendServerID
	usage   map[describer.BackendServerID]UsageReported

	released describer.Epoch
	// releaseShares is the first version of the shares without the slots that the adopted epoch took away.
	releaseShares uint64
	countedShares uint64
	sharesVersion uint64
	shares        []Share
	quarantined   []describer.BackendServerID
	quiesce       quiesce
	// cleared remembers the backend servers on which nothing of a stopped owner is left; it starts no more work there.
	cleared     map[clearance]bool
	wasReleased ReleaseSlots
}

// lease is the own store lease.
type lease struct {
	id       int64
	deadline time.Time
	// confirmed is the lease that the member held when it last wrote the record. A lease counts only then: a takeover
	// that saw the member without a lease fails its compare-and-swap.
	confirmed int64
}

// confirmedDeadline returns when the right from the lease ends; it is zero without a confirmed lease.
func (l lease) confirmedDeadline() time.Time {
	if l.id == 0 || l.id != l.confirmed {
		return time.Time{}
	}
	return l.deadline
}

// write is a write of the record that was sent.
type write struct {
	record  Assignment
	version int64
	lease   int64
	// answered is true when the write needs no further answer; unanswered is true when the answer to it, or to an
	// earlier one of the same version, was lost.
	answered   bool
	unanswered bool
}

// peer is what is known about another owner.
type peer struct {
	heartbeat Heartbeat
	heardAt   time.Time
	// epoch and hold are the newest that the peer has reported.
	epoch describer.Epoch
	hold  describer.Epoch
	gone  bool
}

// server is the member's view of one backend server.
type server struct {
	Server
	// base is the position of slot 0.
	base   int
	listed bool
	// owned are the slots that the adopted epoch gives to this member, granted or not.
	owned   SlotSet
	granted SlotSet
	// still are slots that the member lost and has not released.
	still SlotSet
	busy  int
}

// New returns the state machine of an instance that is not yet a member. newID returns a new nonce at each call.
func New(self Member, newID func() string) *Assigner {
	return &Assigner{
		self:        self,
		newID:       newID,
		absentSince: make(map[Owner]time.Time),
		peers:       make(map[Owner]*peer),
		declared:    make(map[describer.InstanceID]describer.Incarnation),
		servers:     make(map[describer.BackendServerID]*server),
		usage:       make(map[describer.BackendServerID]UsageReported),
		cleared:     make(map[clearance]bool),
	}
}

// MayStart reports whether the member may start work at a time. It is checked at each start, so that a member that
// was paused starts nothing with an expired right.
func (a *Assigner) MayStart(now time.Time) bool {
	return a.Right().Allows(now)
}

// Right returns the present right to start work, which a caller may keep until the next event.
func (a *Assigner) Right() Right {
	if a.leaving || !a.adopted.Has(a.self.Owner) {
		return Right{}
	}
	return Right{Deadline: a.lease.confirmedDeadline(), Held: a.holds()}
}

// Handle applies one event at a time and returns the commands it causes.
func (a *Assigner) Handle(now time.Time, event Event) []Command {
	if a.departed {
		return nil
	}
	a.apply(now, event)
	var commands []Command
	commands = append(commands, a.rejoin(now)...)
	adopted := a.adopt(now)
	commands = append(commands, adopted...)
	a.agree(now)
	a.grant()
	a.chooseQuiesced(now)
	commands = append(commands, a.changeShares(now)...)
	if len(adopted) > 0 {
		a.releaseShares = a.sharesVersion
	}
	commands = append(commands, a.release()...)
	commands = append(commands, a.quarantine()...)
	commands = append(commands, a.plan(now)...)
	return commands
}

// Heartbeat returns the ownership part of the next heartbeat.
func (a *Assigner) Heartbeat() Heartbeat {
	return Heartbeat{
		Owner:          a.self.Owner,
		Address:        a.self.Address,
		Epoch:          a.adopted.Epoch,
		KnownEpoch:     a.record.Epoch,
		ReleasedEpoch:  a.releasedEpoch(),
		StillBusy:      a.stillBusy(),
		StoreReachable: a.reachable,
		HoldEpoch:      a.acknowledged,
		Quiesced:       a.quiesce.servers,
		Leaving:        a.leaving,
	}
}

// Adopted returns the record that the member follows.
func (a *Assigner) Adopted() Assignment {
	return a.adopted
}

// Record returns the newest known record.
func (a *Assigner) Record() Assignment {
	return a.record
}

// Self returns the member with its current incarnation.
func (a *Assigner) Self() Member {
	return a.self
}

// Held reports whether the member relies on a concluded hold agreement.
func (a *Assigner) Held() bool {
	return a.holds()
}

// rejoin starts a new incarnation after the member was removed from the record.
func (a *Assigner) rejoin(now time.Time) []Command {
	wasMember := a.adopted.Epoch != 0 || a.removed
	if a.leaving || !wasMember || a.record.Has(a.self.Owner) {
		return nil
	}
	a.removed = false
	a.self.Incarnation = max(a.self.Incarnation+1, describer.Incarnation(now.UnixNano()))
	a.lease = lease{}
	a.adopted = Assignment{}
	a.write = nil
	a.held = 0
	a.released = 0
	for _, known := range a.servers {
		known.owned, known.granted, known.still = 0, 0, 0
	}
	return []Command{Rejoin{Incarnation: a.self.Incarnation}}
}

func (a *Assigner) peer(owner Owner) *peer {
	known := a.peers[owner]
	if known == nil {
		known = &peer{}
		a.peers[owner] = known
	}
	return known
}

// others returns the other members of a record.
func (a *Assigner) others(record Assignment) []Member {
	return slices.DeleteFunc(slices.Clone(record.Members), func(member Member) bool {
		return member.Owner == a.self.Owner
	})
}

func (a *Assigner) leaseValid(now time.Time) bool {
	return now.Before(a.lease.confirmedDeadline())
}

func (a *Assigner) holds() bool {
	return a.held != 0 && a.held == a.adopted.Epoch
}
