package conductor

import "time"

const (
	// defaultLease is how long runs go on without renewal. A successor takes over within three seconds, and runs on a
	// lost server start again this much later.
	defaultLease = 4500 * time.Millisecond
	// startLease bounds how long after its sending a start order may still take effect.
	startLease = 2500 * time.Millisecond
	// leaseDrift is by how much the clock of a backend server may be slow; the platform states 2%.
	leaseDrift = 0.03
	// birthSkew is by how much the time of day of a backend server may differ from that of the owner.
	birthSkew = 2 * time.Second
	// leaseMargin covers the delay between a lease's end and the end of the runs.
	leaseMargin = 300 * time.Millisecond
	// holdWait is how long a server may wait for an end before it answers a hold; the platform allows two seconds.
	holdWait = time.Second
	// holdRetry is the pause after a hold without an answer.
	holdRetry = 250 * time.Millisecond
	// uncommittedHold is how often the lease is renewed while ends wait for the store.
	uncommittedHold = time.Second
	// holdPassInterval keeps the looks for leases to renew apart, and sweepInterval those for stops to repeat, old jobs and
	// servers out of reach: each takes some 20 microseconds with 350 servers, and events come every half millisecond.
	holdPassInterval = 4 * time.Millisecond
	sweepInterval    = 20 * time.Millisecond
	// stopRetry is how long an unanswered stop, or one whose end is not listed, waits before it is sent again.
	stopRetry = 500 * time.Millisecond
	// CommitLanes bounds the writes to the store at the same time.
	CommitLanes = 4
	// commitInterval gathers the changes of a few milliseconds into one write, because each call to the store is paid for.
	commitInterval = 15 * time.Millisecond
	// commitBatch bounds the entries of one write; the store admits 32, of which the owner's key and the lane take three. A
	// finished job takes two, because its submission is deleted.
	commitBatch = 28
	// extraLaneAfter is how long a write may take before another one begins beside it.
	extraLaneAfter = 15 * time.Millisecond
	// ticketMargin is how long a ticket must still be valid for a placement: the time of the commit and of the start.
	ticketMargin = 150 * time.Millisecond
	// adviceTimeFactor times the expected time of an advice call, and adviceTimeout more, is when the call has failed: the
	// service answers an advisor's only call in the expected time, and urgent jobs have half a second to spare.
	adviceTimeFactor = 2
	adviceTimeout    = 250 * time.Millisecond
	// adviceReportTime is how long after its timeout a call is waited for before its advisor is used again.
	adviceReportTime = time.Second
	// adviceServers is the number of servers that a call names at least, if there are as many, and at most when each adds much
	// time and the step is no gang.
	adviceServers = 30
	// refusedPerGrant is how much more room the servers in a call have than the step needs: the strictest queues of the sites
	// admit about a third of the servers.
	refusedPerGrant = 3
	// mostAdviceServers is the number of servers that the advice service accepts in a call.
	mostAdviceServers = 100
	// adviceLookInterval keeps steps that need no further advice from being looked at in each pass.
	adviceLookInterval = 100 * time.Millisecond
	// placeInterval is the longest time between two passes over the waiting steps.
	placeInterval = 50 * time.Millisecond
	// shortestPassInterval gathers the events of a few milliseconds into one pass.
	shortestPassInterval = 3 * time.Millisecond
	// passTimePerStep keeps the passes to about a tenth of a core: a waiting step costs about two microseconds in a pass.
	passTimePerStep = 25 * time.Microsecond
	// expireInterval is how often old final jobs are looked for, and forgetBatch how many are forgotten at a time; each has
	// two keys, and the store admits 32 entries. At the two-year size two jobs a second end.
	expireInterval = 200 * time.Millisecond
	forgetBatch    = 15
	// longAdvice is the time above which a call counts as long.
	longAdvice = 200 * time.Millisecond
	// silentServersOfPartition is the number of silent servers in an availability zone from which on a partition is
	// suspected, and freshReport is how young a report clears a server of that suspicion.
	silentServersOfPartition = 2
	freshReport              = 100 * time.Millisecond
	// majorityPatience is how long an owner may fail to reach half of the servers before it resigns.
	majorityPatience = 1500 * time.Millisecond
	// handoverGrace is how long after a takeover an earlier owner may still have renewed the lease of a server that this
	// owner does not reach.
	handoverGrace = 8 * time.Second
)

type settings struct {
	lease time.Duration
	// longestLease is the longest lease that backend servers grant.
	longestLease time.Duration
	keepFinal    time.Duration
}

// Option configures a Conductor.
type Option func(*settings)

// WithMaximumLease bounds the lease of runs by what backend servers accept.
func WithMaximumLease(limit time.Duration) Option {
	return func(s *settings) {
		if limit > 0 {
			s.lease = min(s.lease, limit)
			s.longestLease = limit
		}
	}
}

// WithFinalStateKept sets how long the final state of a job is kept.
func WithFinalStateKept(keep time.Duration) Option {
	return func(s *settings) { s.keepFinal = keep }
}
