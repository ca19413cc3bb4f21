package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// defaultLease is how long runs continue without renewal. A successor takes over within three seconds, and the runs
	// of a lost server start again after this time.
	defaultLease = 4500 * time.Millisecond
	// startLease is the time after sending a start order within which the order may still take effect.
	startLease = 2500 * time.Millisecond
	// leaseDrift is the assumed bound on how much slower the clock of a backend server runs than that of the owner; the
	// platform states 2%.
	leaseDrift = 0.03
	// leaseMargin covers the delay between the end of a lease and the end of its runs.
	leaseMargin = 300 * time.Millisecond
	// renewalWait is how long a server may wait for the end of a run before it responds to a lease renewal; the platform
	// allows two seconds.
	renewalWait = time.Second
	// renewalRetry is the delay before the next renewal after one without a response.
	renewalRetry = 250 * time.Millisecond
	// uncommittedRenewal is how often the lease is renewed while ends of runs wait for their commit.
	uncommittedRenewal = time.Second
	// renewalPassInterval is the minimum time between two scans for leases to renew, and sweepInterval between two
	// scans for stops to resend, jobs to expire and unreachable servers: each takes some 20 microseconds with 350
	// servers, and events arrive every half millisecond.
	renewalPassInterval = 4 * time.Millisecond
	sweepInterval       = 20 * time.Millisecond
	// stopRetry is how long after a stop order it is sent again while the end of its run has not been reported.
	stopRetry = 500 * time.Millisecond
	// CommitLanes bounds the concurrent commits to the store.
	CommitLanes = 8
	// commitInterval batches the changes of a few milliseconds into one write, because each call to the store has a
	// cost.
	commitInterval = 15 * time.Millisecond
	// commitBatch bounds the entries of one write; the store admits 32, of which the owner's key and the lane take
	// three. A finished job takes two entries, because its submission is deleted too.
	commitBatch = 28
	// maxStartsInFlight bounds the starts that wait for their record to be stored or for the server's response. Urgent steps may
	// have as many more.
	maxStartsInFlight = 512
	// commitBytes bounds the records of several jobs in one write, so that small ones do not wait for the transfer of large ones.
	commitBytes = 256 << 10
	// jobRecordRate bounds the records of one job that are written in a second, in bytes, to four fifths of a link of 20 Mbit/s.
	jobRecordRate = 2 << 20
	// unwritableRetry is the pause before a record that the store does not accept is tried again.
	unwritableRetry = 30 * time.Second
	// extraLaneAfter is how long a write may take before another one starts concurrently.
	extraLaneAfter = 15 * time.Millisecond
	// ticketMargin is how long a ticket must still be valid for a placement, so that it covers the commit and the
	// start.
	ticketMargin = 150 * time.Millisecond
	// adviceTimeFactor times the expected time of an advice call, plus adviceTimeout, is the call's timeout: the
	// service responds to the only call of an advisor in the expected time, and urgent jobs have half a second of slack.
	adviceTimeFactor = 2
	adviceTimeout    = 250 * time.Millisecond
	// adviceResponseGrace is how long after the timeout of a call its advisor stays reserved for a late result.
	adviceResponseGrace = time.Second
	// adviceServers is the minimum number of servers in a call, if there are as many, and also the maximum when the
	// servers add much time to the call and the step is not a gang.
	adviceServers = 30
	// adviceOverRequest is the multiple of the needed capacity that the servers in a call should have free: the
	// strictest queues of the sites admit about a third of the servers.
	adviceOverRequest = 3
	// spareAdvisors divides the advisors for long calls to get the number that must be free for tickets in advance of late
	// gangs.
	spareAdvisors = 3
	// renewalFactor is the multiple of the needed capacity that the servers should have free for which a gang renews tickets.
	renewalFactor = 2
	// maxAdviceServers is the largest number of servers that the advice service accepts in a call.
	maxAdviceServers = 100
	// adviceRetryInterval is how long a step that needed no further advice is skipped, so that it is not checked in
	// each pass.
	adviceRetryInterval = 100 * time.Millisecond
	// placeInterval is the maximum time between two placement passes over the waiting steps.
	placeInterval = 50 * time.Millisecond
	// minPassInterval batches the events of a few milliseconds into one pass.
	minPassInterval = 3 * time.Millisecond
	// expireInterval is how often final jobs that exceed their retention are searched for, and deleteBatch how many are
	// deleted at a time; each has two keys, and the store admits 32 entries. At the size expected in two years, two
	// jobs end per second.
	expireInterval = 200 * time.Millisecond
	deleteBatch    = 15
	// longAdvice is the expected time above which an advice call counts as long.
	longAdvice = 200 * time.Millisecond
	// partitionThreshold is the minimum number of unresponsive servers in an availability zone at which a partition is
	// suspected, and freshReportAge is the age up to which a report exempts a server from that suspicion.
	partitionThreshold = 2
	freshReportAge     = 100 * time.Millisecond
	// majorityTimeout is how long an owner may reach fewer than half of the servers before it resigns.
	majorityTimeout = 1500 * time.Millisecond
	// ownersRefused is how many owners in a row have to be refused by servers before the next one goes on with fewer than half of them.
	ownersRefused = 2
	// refusedTimeout is how long an owner may reach no server, while most refuse its connections, before it resigns.
	refusedTimeout = 10 * time.Second
	// handoverGrace is how long after a takeover an earlier owner may still renew the lease of a server that this owner
	// cannot reach.
	handoverGrace = 8 * time.Second
)

type settings struct {
	// firstTerm is set when there has been no earlier owner.
	firstTerm bool
	// refusedBefore is how many owners in a row have resigned because servers refused their connections.
	refusedBefore int
	lease         time.Duration
	// maxLease is the longest lease that backend servers grant.
	maxLease       time.Duration
	finalRetention time.Duration
	shardIndex     int
	equalServers   bool
	farFactor      float64
	// checkpointInterval is the time between two checkpoints of a run, and restoreTime that of a restore.
	checkpointInterval, restoreTime time.Duration
	// homeOf is nil when the cell has one shard.
	homeOf func(specifier.Server) int
}

// Option configures a Conductor.
type Option func(*settings)

// WithMaximumLease bounds the lease of runs by the longest lease that backend servers accept.
func WithMaximumLease(limit time.Duration) Option {
	return func(s *settings) {
		if limit > 0 {
			s.lease = min(s.lease, limit)
			s.maxLease = limit
		}
	}
}

// WithFirstTerm states that there has been no earlier owner, so that no calls of one can be under way.
func WithFirstTerm() Option {
	return func(s *settings) { s.firstTerm = true }
}

// WithRefusedOwners states how many owners in a row before this one have resigned because servers refused their connections.
func WithRefusedOwners(count int) Option {
	return func(s *settings) { s.refusedBefore = count }
}

// WithFinalStateRetention sets the retention of the final state of a job.
func WithFinalStateRetention(keep time.Duration) Option {
	return func(s *settings) { s.finalRetention = keep }
}
