package conductor

import (
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/arbiter"
	"egretring.example/egretring/assessor"
	"egretring.example/egretring/calibrator"
	"egretring.example/egretring/specifier"
)

// allocationState is the progress of starting a run.
type allocationState int

const (
	// reserved runs wait for the commit of their record before the start order is sent.
	reserved allocationState = iota
	// sent runs have a start order without a result yet.
	sent
	// confirmed runs were started, or were found in the records of an earlier owner or in a report of the server.
	confirmed
	// outcomeUnknown runs may or may not have started: their start order got no response, was fenced under the current
	// token, or the server restarted since.
	outcomeUnknown
)

// allocation is the capacity that a run takes on a backend server.
type allocation struct {
	task  specifier.TaskID
	run   int
	need  specifier.Resources
	state allocationState
	// team is that of the job, and counted what the run takes of the team's limit: the whole need of the task.
	team    string
	counted specifier.Resources
	// mayStartUntil is until when a start without a response may still be carried out; zero if there is none.
	mayStartUntil time.Time
	// remaining is set for a run of a job that had finished before this owner began.
	remaining bool
	// incarnation is that of the server when the start was sent.
	incarnation int64
	// address is that of the server when the run was placed.
	address string
	// shutdown is set when the server has restarted after it was listed as draining.
	shutdown bool
	// answered is set once the server has responded to the start, or has reported the run.
	answered bool
	// clockBefore is the newest clock of the server that was known when the start was sent.
	clockBefore time.Duration
	// endsBy is when the run has certainly ended, if that is after the end of the server's lease; zero otherwise.
	endsBy time.Time
	// recorded is what the record of an earlier owner says of the start.
	recorded recordedStart
	// longLease is set when the record of an earlier owner says that the lease of the server might be longer than its renewals.
	longLease bool
	// mayHaveCrashed is set when the server has restarted or does not respond, and the run is likely to have crashed it, and alone if that holds for
	// no run of another job.
	mayHaveCrashed, alone bool
	// crashedByOthers is set when runs of other jobs are likely to have crashed the server, and this one is not.
	crashedByOthers bool
	// protected is set for a task under which servers have crashed often, whatever the cause.
	protected bool
	// survived is set once the run has lasted for survivalTime.
	survived bool
	// version is the version of the job that records the start.
	version uint64
	order   specifier.StartOrder
	fence   int64
	// resolvedAt is when the server responded to the start or the stop, or first reported the run.
	resolvedAt time.Time
	// resends is how often the start was sent again.
	resends int
	// percent is the part of its speed that the server reports to allow the run.
	percent int
	// urgent is set for a run of an urgent step.
	urgent bool
	// orphan runs were reported by the server without being recorded for it.
	orphan     bool
	stopping   bool
	stopSentAt time.Time
	// startedAt is when the start was sent last, and firstSentAt when it was sent first.
	startedAt   time.Time
	firstSentAt time.Time
	// charge is what the run has cost its team.
	charge arbiter.Charge
}

// starting reports whether the start of the run has no result yet.
func (a *allocation) starting() bool {
	return a.state == reserved || a.state == sent
}

// pendingEnd is the end of a run that the server reports until it is acknowledged.
type pendingEnd struct {
	number  int64
	job     specifier.JobID
	version uint64
}

// session is the owner's view of a backend server. Most of it is reset when the server restarts.
type session struct {
	// id is that of the server. It never changes.
	id specifier.ServerID
	// server is the newest entry of the server, with the newest known incarnation, and describedIncarnation is that of the entry.
	server               specifier.Server
	describedIncarnation int64
	// formerIncarnation is the one before the newest known, if a restart was noticed.
	formerIncarnation int64
	listed            bool
	// reconciled is set once the server has responded under this owner's fencing token and its report was compared with
	// the allocations. It is cleared when the server restarts or the lease of its runs ends.
	reconciled bool
	fence      int64
	// respondedFence is the highest fencing token under which the server has responded, or that was raised for an acknowledgement
	// after such a response.
	respondedFence int64
	// firstFence is the first fencing token of the session.
	firstFence int64
	// foreign servers are borrowed from their home shard. They only run steps that do not fit the servers of this one.
	foreign bool
	// lentTo is set while the server gets no new runs because another shard wants it, and moving from the transaction that
	// transfers the server until its outcome is known. Meanwhile the server counts as not owned.
	lentTo *wish
	moving bool
	// quiet is set when the last report listed no runs and no ends.
	quiet bool
	// unrecorded are jobs whose records in the store may still name the server for a run that it does not have.
	unrecorded []pendingEnd

	allocations map[specifier.TaskID]*allocation
	// stops is set while a run with an order to stop may have an allocation.
	stops bool
	// runs is the owner's index of the allocations of all sessions.
	runs runIndex
	// accounts counts the allocations of all sessions by teams.
	accounts *accountant.Accountant
	used     specifier.Resources
	// kept is what is kept for tasks that move to or from the server.
	kept specifier.Resources
	// starting is the number of allocations whose start has no result yet.
	starting int
	// namedUntil are the times at which the results of the advice calls in flight that name the server are expected.
	namedUntil []time.Time
	// takenPart is the part of the free capacity that these calls are expected to take.
	takenPart float64
	// trial is the last suspect that was placed on the server; see onTrial.
	trial *allocation
	// trialCrashedAt is when the loss of the server to its trial was last noticed.
	trialCrashedAt time.Time
	// claimedBy is the job for whose suspects the server gets no other runs until claimedUntil.
	claimedBy    *job
	claimedUntil time.Time

	// restartedAt is when a restart of the server was last noticed.
	restartedAt time.Time
	// restartExplained is set if a run is likely to have caused that restart, or the server was draining; jobsAtRestart are the jobs
	// that had runs on the server.
	restartExplained bool
	jobsAtRestart    map[specifier.JobID]bool
	// aliveAt is when the present incarnation of the server last responded.
	aliveAt     time.Time
	clock       time.Duration
	clockReadAt time.Time
	clockKnown  bool
	// leaseEnd is when all runs on the server have certainly ended unless the lease is renewed.
	leaseEnd time.Time
	// predecessorLease is set until the server's first response to this owner; until then an earlier owner may have
	// renewed the lease.
	predecessorLease bool
	// formerCalls is set after a restart until the server's next response under the present fencing token: until then, calls
	// that were meant for the earlier incarnation may renew the lease. Their lease ends are on the clock of that incarnation.
	formerCalls bool
	// longLeaseUntil is until when the lease may be longer than this owner's renewals, because of such calls.
	longLeaseUntil time.Time

	renewalSequence  int
	respondedRenewal int
	renewalInFlight  bool
	nextRenewalAt    time.Time
	renewalFailures  int
	// refusing is set while the server resets the connections of renewals.
	refusing bool
	// suspect servers may be unreachable, as after an order without a response; they get no new runs before their next
	// report.
	suspect bool

	lastEndSeen  int64
	acknowledged int64
	// confirmed is the newest acknowledgement to which the present incarnation has responded.
	confirmed int64
	pending   []pendingEnd

	// endsAfter is the time after which the runs have ended whose ends the newest response lists for the first time.
	endsAfter time.Time
	// class is that of the server's speed, and reserved is set while it is kept for urgent steps; wasReserved and urgentUse, which is what
	// these use on it, are set at each choice.
	class                 calibrator.Class
	reserved, wasReserved bool
	urgentUse             specifier.Resources

	health assessor.Health
	// holder is the step that the server is held for in the present placement pass, if any.
	holder *holder
}

func newSession(server specifier.Server, fence int64, runs runIndex, accounts *accountant.Accountant) *session {
	return &session{
		id: server.ID, server: server, describedIncarnation: server.Incarnation, fence: fence, firstFence: fence, runs: runs,
		accounts: accounts, allocations: make(map[specifier.TaskID]*allocation),
	}
}

// add allocates the capacity of a run, in place of an earlier run of the same task.
func (s *session) add(a *allocation) {
	s.release(a.task)
	s.runs.add(a.task.Job, s)
	s.accounts.Take(a.team, a.counted)
	s.allocations[a.task] = a
	s.used = s.used.Plus(a.need)
	if a.starting() {
		s.starting++
	}
}

// setState changes the state of an allocation of the session.
func (s *session) setState(a *allocation, state allocationState) {
	if a.starting() {
		s.starting--
	}
	a.state = state
	if a.starting() {
		s.starting++
	}
}

func (s *session) release(task specifier.TaskID) {
	a := s.allocations[task]
	if a == nil {
		return
	}
	s.used = s.used.Minus(a.need)
	if a.mayStartUntil.IsZero() {
		s.accounts.Release(a.team, a.counted)
	} else {
		s.accounts.ReleaseAt(a.team, a.counted, a.mayStartUntil)
	}
	if a.starting() {
		s.starting--
	}
	delete(s.allocations, task)
	s.runs.remove(task.Job, s)
}

// unansweredStarts returns the number of allocations whose start was sent and has no response.
func (s *session) unansweredStarts() int {
	count := 0
	for _, a := range s.allocations {
		if a.state != reserved && !a.answered {
			count++
		}
	}
	return count
}

// sinceResponse returns the time since the server's last response as text.
func (s *session) sinceResponse(now time.Time) string {
	if s.aliveAt.IsZero() {
		return "unknown time"
	}
	return now.Sub(s.aliveAt).Round(time.Millisecond).String()
}

// freeCapacity returns the capacity that no allocation takes and that is not kept for a task that moves.
func (s *session) freeCapacity() specifier.Resources {
	return s.server.Capacity.Minus(s.used).Minus(s.kept)
}

// serverTime returns the estimated time on the clock of the server.
func (s *session) serverTime(now time.Time) time.Duration {
	return s.clock + now.Sub(s.clockReadAt)
}

// usable reports whether new runs may be placed on the server.
func (s *session) usable(now time.Time) bool {
	return s.lentTo == nil && s.available(now)
}

// available reports whether new runs could be placed on the server if no other shard wanted it.
func (s *session) available(now time.Time) bool {
	return s.reconciled && s.accepts(now)
}

// accepts reports whether new runs could be placed on the server once its report was compared with the allocations.
func (s *session) accepts(now time.Time) bool {
	return s.listed && s.isDescribed() && !s.moving && s.clockKnown && !s.server.Draining && s.responsive() &&
		s.health.AllowsRun(now, s.trials(now))
}

// responsive reports whether the server is not suspect and the last completed lease renewal got a response.
func (s *session) responsive() bool {
	return !s.suspect && s.renewalFailures == 0
}

// isSilent reports whether a call to the server had no response and none has come since.
func (s *session) isSilent() bool {
	if s.renewalFailures > 0 {
		return true
	}
	for _, a := range s.allocations {
		if a.state == outcomeUnknown {
			return true
		}
	}
	return false
}

// extendLease records that the lease may last until the given time.
func (s *session) extendLease(end time.Time) {
	if end.After(s.leaseEnd) {
		s.leaseEnd = end
	}
}
