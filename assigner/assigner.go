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
	// LeaseMargin is how much earlier than the store the holder treats its lease as expired. It covers the difference
	// between the rates of the two clocks.
	LeaseMargin = time.Second
	// TakeoverMargin is how long a lease must be absent before the positions of its holder are taken over. It covers
	// work that the holder sent just before its deadline and that is still in transit.
	TakeoverMargin = 2 * time.Second
	// PeerTimeout is how long a heartbeat counts as recent: four heartbeat intervals.
	PeerTimeout = 2 * time.Second
	// SampleMargin is the minimum time between the stop of an owner and the sampling of a usage report that may clear
	// the owner's slots. It covers the difference between the clocks of the backend server and the writer of the
	// record.
	SampleMargin = time.Second
	// QuarantineMinimum is the minimum time for which a stopped holder stays in the record. It exceeds the lag of the
	// instance list, so that a member that ends the quarantine knows every backend server that the holder has used.
	QuarantineMinimum = 30 * time.Second
	// ReplacementWait is how long a takeover waits for a registered new incarnation of the same instance to take over
	// the positions itself. The positions then stay with one member instead of being spread over the others.
	ReplacementWait = 6 * time.Second
)

// allEpochs is the released epoch of a leaving member that has no work left.
const allEpochs = describer.Epoch(math.MaxInt64)

// Assigner is the state machine of one member of a zone.
type Assigner struct {
	self    Member
	leaving bool
	// departed is true once Depart has been issued; further events are ignored.
	departed bool
	newID    func() string

	reachable bool
	lease     lease

	// record is the newest known record. adopted is the record whose shares are in use. It is older than record while
	// the only right to start work is a hold agreement for an earlier epoch.
	record        Assignment
	version       int64
	recordRead    bool
	adopted       Assignment
	leases        []Owner
	leasesVersion int64
	leasesAt      time.Time
	absentSince   map[Owner]time.Time

	write  *write
	reread bool
	// removed is true when a record that listed this member may have been written and has since been replaced.
	removed bool
	// unresolvedTakeover is the record version that a takeover written by this member replaces; it is zero when there
	// is none, or once a newer version is known.
	unresolvedTakeover int64

	acknowledgedEpoch describer.Epoch
	heldEpoch         describer.Epoch
	peers             map[Owner]*peer
	// declaredDead holds the newest incarnation of an instance that an operator declared dead.
	declaredDead map[describer.InstanceID]describer.Incarnation

	servers   map[describer.BackendServerID]*server
	serverIDs []describer.BackendServerID
	usage     map[describer.BackendServerID]UsageReported

	released describer.Epoch
	// releaseShares is the first version of the shares that no longer contains the slots removed by the adopted epoch.
	releaseShares uint64
	countedShares uint64
	sharesVersion uint64
	shares        []Share
	quarantined   []describer.BackendServerID
	quiesce       quiesce
	// cleared holds the backend servers on which a stopped owner has no work left. A stopped owner starts no more work,
	// so an entry stays valid.
	cleared     map[clearance]bool
	lastRelease ReleaseSlots
}

// lease is the store lease of this member.
type lease struct {
	id       int64
	deadline time.Time
	// confirmed is the lease that the member held when it last wrote the record. A lease gives the right to start work
	// only once it is confirmed: the write makes the compare-and-swap of any takeover fail that was based on the
	// absence of the lease.
	confirmed int64
}

// confirmedDeadline returns when the right from the lease ends; it is zero without a confirmed lease.
func (l lease) confirmedDeadline() time.Time {
	if l.id == 0 || l.id != l.confirmed {
		return time.Time{}
	}
	return l.deadline
}

// write is a write of the record that has been sent to the store.
type write struct {
	record  Assignment
	version int64
	lease   int64
	// completed is true when no further response to the write is expected; responseLost is true when the response to it,
	// or to an earlier write that expected the same version, was lost.
	completed    bool
	responseLost bool
}

// peer is what is known about another owner.
type peer struct {
	heartbeat Heartbeat
	// lastHeartbeatAt is when the last heartbeat arrived; it is zero after the peer failed to respond.
	lastHeartbeatAt time.Time
	// epoch and holdEpoch are the highest values that the peer has reported.
	epoch     describer.Epoch
	holdEpoch describer.Epoch
	// exited is true when the process is known to have ended.
	exited bool
}

// server is the member's view of one backend server.
type server struct {
	Server
	// base is the position of slot 0.
	base   int
	listed bool
	// owned are the slots that the adopted epoch assigns to this member, including those that an earlier holder may
	// still use.
	owned SlotSet
	// granted are the owned slots that all earlier holders have released.
	granted SlotSet
	// unreleased are slots that the member has lost to another owner and not yet released.
	unreleased SlotSet
	busy       int
}

// New returns the state machine of an instance that is not yet a member. newID must return a new nonce at each call.
func New(self Member, newID func() string) *Assigner {
	return &Assigner{
		self:         self,
		newID:        newID,
		absentSince:  make(map[Owner]time.Time),
		peers:        make(map[Owner]*peer),
		declaredDead: make(map[describer.InstanceID]describer.Incarnation),
		servers:      make(map[describer.BackendServerID]*server),
		usage:        make(map[describer.BackendServerID]UsageReported),
		cleared:      make(map[clearance]bool),
	}
}

// MayStart reports whether the member may start work at the given time. It must be checked at each start, so that a
// member that was paused does not start work after its right has expired.
func (a *Assigner) MayStart(now time.Time) bool {
	return a.Right().Allows(now)
}

// Right returns the current right to start work, which a caller may cache until the next event.
func (a *Assigner) Right() Right {
	if a.leaving || !a.adopted.Has(a.self.Owner) {
		return Right{}
	}
	return Right{Deadline: a.lease.confirmedDeadline(), Held: a.reliesOnHold()}
}

// Handle applies one event and returns the resulting commands.
func (a *Assigner) Handle(now time.Time, event Event) []Command {
	if a.departed {
		return nil
	}
	a.apply(now, event)
	var commands []Command
	commands = append(commands, a.rejoin(now)...)
	adopted := a.adopt(now)
	commands = append(commands, adopted...)
	a.updateHold(now)
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
		HoldEpoch:      a.acknowledgedEpoch,
		Quiesced:       a.quiesce.servers,
		Leaving:        a.leaving,
	}
}

// Adopted returns the record whose shares are in use, which may be older than the newest known record.
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
	return a.reliesOnHold()
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
	a.heldEpoch = 0
	a.released = 0
	for _, backend := range a.servers {
		backend.owned, backend.granted, backend.unreleased = 0, 0, 0
	}
	return []Command{Rejoin{Incarnation: a.self.Incarnation}}
}

func (a *Assigner) peer(owner Owner) *peer {
	state := a.peers[owner]
	if state == nil {
		state = &peer{}
		a.peers[owner] = state
	}
	return state
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

func (a *Assigner) reliesOnHold() bool {
	return a.heldEpoch != 0 && a.heldEpoch == a.adopted.Epoch
}
