package conductor

import (
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/adviser"
	"egretring.example/egretring/forecaster"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// fencesPerOwner is how many fencing tokens each ownership has for each server. The token of a server is incremented
// when the outcome of an order is unknown or its refusal shows that the owner's view of the server is outdated, and when
// the server restarts or the lease of its runs ends.
const fencesPerOwner = 1 << 16

// Conductor is the state machine of the owner. It is not safe for concurrent use.
type Conductor struct {
	settings   settings
	epoch      int64
	firstFence int64
	startedAt  time.Time
	// predecessorLeasesEnd is when all leases that earlier owners may have renewed have ended.
	predecessorLeasesEnd time.Time
	configuration        specifier.Configuration

	jobs     map[specifier.JobID]*job
	sessions map[specifier.ServerID]*session
	// runs has the sessions with allocations of each job.
	runs runIndex
	// accounts counts what the allocations of all sessions take of the limits of teams.
	accounts *accountant.Accountant
	quota    quota
	// forecaster decides which tasks wait for a server near their data.
	forecaster *forecaster.Forecaster
	// ordered has the sessions in the order of their servers' IDs; nil when it has to be made anew.
	ordered []*session
	// lastFences are the fencing tokens of servers that were removed from the list. A server that is listed again has
	// seen them.
	lastFences   map[specifier.ServerID]int64
	waitingSteps map[specifier.StepID]*waitingStep
	// stale are the jobs whose waiting steps are out of date.
	stale []*job
	// holds is, for each service, the step that servers are held for, if any.
	holds map[string]*hold
	// needsAdvice is, for each service, the oldest step for which servers would be held if advice admitted enough of them.
	needsAdvice map[string]adviceTurn
	reservation advisorReservation
	// holdNotBefore is, for each service, the earliest time of the next hold after one that expired.
	holdNotBefore map[string]time.Time
	// busyAt is when each service was last busy.
	busyAt map[string]time.Time
	lanes  [CommitLanes]lane
	dirty  []*job
	// unwritable are the jobs whose record the store does not accept, until it is tried again.
	unwritable map[*job]bool
	advisors   adviser.Pool
	// counted are the counts for the next call of TakeLoad, and advised those of advice calls.
	counted OwnerLoad
	advised adviceTally

	// doubts are the doubtful crashes by the address of the server.
	doubts map[string][]doubt
	// incarnations are the newest listed incarnations by address.
	incarnations map[string]int64

	commands []Command
	// cancelledEarly are the jobs whose cancellation was read before the job itself.
	cancelledEarly map[specifier.JobID]bool
	// scheduled are the jobs with a schedule that has occurrences left to start.
	scheduled map[specifier.JobID]*job
	// replan is set when a waiting step may have become placeable; placeAgainAt is when the next placement pass runs
	// even without it.
	replan       bool
	placeAgainAt time.Time
	// placeNotBefore is the earliest time of the next placement pass, and fullPassNotBefore that of the next one over all steps.
	placeNotBefore, fullPassNotBefore time.Time
	passRate                          passRate
	// startsLimited is set when a step was not placed because too many starts were in flight.
	startsLimited bool
	// hasFresh is set when an urgent step is new or has got tickets since the last pass.
	hasFresh bool
	// commitNotBefore is the earliest time of the next commit, unless a full batch waits.
	commitNotBefore time.Time
	// renewalPass and sweepPass limit how often all servers are scanned, expirePass how often all jobs are, and holdPass
	// how often held servers are chosen.
	renewalPass throttle
	sweepPass   throttle
	expirePass  throttle
	holdPass    throttle
	// reachableAt is when at least half of the listed servers were last reachable; the first check counts as such a
	// time.
	reachableAt time.Time
	// anyReachableAt is the same for one server.
	anyReachableAt time.Time
	// refusedBefore is how many owners in a row have resigned because servers refused their connections. It is zero once this owner has
	// reached half of the servers.
	refusedBefore int
	resigned      bool

	teams    teams
	speeds   speeds
	shard    shard
	borrower borrower
	lender   lender
	// migrations are the tasks that move because they are far behind their step.
	migrations migrations
	// restoredStarts has what the records say of the predecessor's last starts, until the next plan.
	restoredStarts restoredStarts
	unanswered     unanswered
}

// New returns the state machine of an owner whose ownership began at the given time under the given epoch.
func New(now time.Time, epoch int64, options ...Option) *Conductor {
	c := &Conductor{
		settings:     settings{lease: defaultLease, maxLease: 2 * defaultLease, finalRetention: 3 * time.Minute},
		epoch:        epoch,
		firstFence:   epoch * fencesPerOwner,
		startedAt:    now,
		jobs:         make(map[specifier.JobID]*job),
		sessions:     make(map[specifier.ServerID]*session),
		runs:         make(runIndex),
		accounts:     accountant.New(),
		lastFences:   make(map[specifier.ServerID]int64),
		waitingSteps: make(map[specifier.StepID]*waitingStep),
		scheduled:    make(map[specifier.JobID]*job),
		doubts:       make(map[string][]doubt),
		unwritable:   make(map[*job]bool),

		cancelledEarly: make(map[specifier.JobID]bool),
		holds:          make(map[string]*hold),
		holdNotBefore:  make(map[string]time.Time),
		busyAt:         make(map[string]time.Time),
		needsAdvice:    make(map[string]adviceTurn),
		renewalPass:    throttle{interval: renewalPassInterval},
		sweepPass:      throttle{interval: sweepInterval},
		expirePass:     throttle{interval: expireInterval},
		holdPass:       throttle{interval: holdInterval},
	}
	for _, option := range options {
		option(&c.settings)
	}
	c.refusedBefore = c.settings.refusedBefore
	c.predecessorLeasesEnd = now.Add(handoverGrace + c.settings.lease)
	c.shard = shard{
		index: c.settings.shardIndex, readRevision: epoch, homeOf: c.settings.homeOf, transfers: make(map[specifier.ServerID]Transfer),
		moving: make(map[specifier.ServerID]int), others: make(map[specifier.ServerID]specifier.Server),
	}
	c.quota = newQuota(c.accounts)
	c.teams = newTeams()
	c.speeds = newSpeeds(c.settings.equalServers)
	c.forecaster = forecaster.New(forecaster.WithFarFactor(c.settings.farFactor))
	c.migrations = newMigrations(c.settings)
	c.borrower = newBorrower(now)
	c.lender = newLender()
	return c
}

// Handle applies one event. Commands are returned by Plan.
func (c *Conductor) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case JobArrived:
		c.jobArrived(now, e)
	case JobCancelled:
		c.cancel(now, e.Job)
	case CommitEnded:
		c.commitEnded(now, e)
	case OrderEnded:
		c.orderEnded(now, e)
	case RenewEnded:
		c.renewalEnded(now, e)
	case ServersListed:
		c.applyTransfers(now, e.Transfers)
		c.updateServers(now, c.heldServers(e.Servers))
		c.noteIncarnations(now, e.Servers)
	case Configured:
		c.applyConfiguration(e.Configuration)
	case AdvisorsChanged:
		c.advisors.Set(e.Advisors)
	case Advised:
		c.applyAdvice(now, e)
	case JobsDeleted:
		c.jobsDeleted(e)
	case SpeedsRead:
		c.restoreSpeeds(now, e.Speeds)
	case PredecessorsStopped:
		c.predecessorsStopped(now)
	case ServersWanted:
		c.wanted(now, e)
	case Moved:
		c.moved(now, e)
	}
}

// Plan decides what to do next and returns all commands since the last call.
func (c *Conductor) Plan(now time.Time) []Command {
	c.awaitRestoredStarts()
	c.replan = c.accounts.Advance(now) || c.replan
	c.beginDue(now)
	c.refreshStale()
	c.decideRefusals(now)
	c.place(now)
	c.commit(now)
	if c.sharded() {
		c.borrow(now)
		c.lend(now)
	}
	if c.renewalPass.begin(now) {
		c.renewLeases(now)
	}
	if c.sweepPass.begin(now) {
		c.expire(now)
		c.closeUnanswered(now)
		c.resendStops(now)
		c.checkReachability(now)
	}
	c.refreshStale()
	commands := c.commands
	c.commands = nil
	return commands
}

func (c *Conductor) addJob(restored *lifecycler.Job) *job {
	j := &job{Job: restored, queue: restored.Spec.Queue, advice: make(map[specifier.StepID]*advice)}
	j.updateQueue(&c.configuration)
	c.updateWaves(j)
	c.jobs[restored.Spec.ID] = j
	// Orphans may have been found before the job was known.
	j.hasOrphans = len(c.runs[restored.Spec.ID]) > 0
	if restored.Spec.Scheduled() && !restored.State().Final() {
		c.scheduled[restored.Spec.ID] = j
	}
	return j
}

func (c *Conductor) jobArrived(now time.Time, e JobArrived) {
	spec := e.Job.WithAcceptedAt(acceptedAt(now, e))
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.addJob(lifecycler.New(spec))
	if j.State().Final() {
		c.markDirty(j)
		c.logDecision("JobInvalid", specifier.TaskID{StepID: specifier.StepID{Job: spec.ID}}, 0, "", "the job cannot run")
		return
	}
	c.teams.rater.Arrive(j.line())
	j.BeginDue(now)
	c.markStale(j)
	c.logDecision("JobTaken", specifier.TaskID{StepID: specifier.StepID{Job: spec.ID}}, 0, "", "")
	if c.cancelledEarly[spec.ID] {
		delete(c.cancelledEarly, spec.ID)
		c.cancel(now, spec.ID)
	}
}

func (c *Conductor) cancel(now time.Time, id specifier.JobID) {
	j := c.jobs[id]
	if j == nil {
		c.cancelledEarly[id] = true
		return
	}
	if !j.Cancel(now) {
		return
	}
	c.logDecision("JobCancelled", specifier.TaskID{StepID: specifier.StepID{Job: id}}, 0, "", "")
	c.changed(j)
	c.stopAll(now, j)
}

func (c *Conductor) applyConfiguration(configuration specifier.Configuration) {
	if configuration.Revision < c.configuration.Revision {
		return
	}
	c.configuration = configuration
	c.accounts.Configure(configuration.Teams)
	c.replan = true
	c.teams.configure(configuration.Teams)
	for _, j := range c.jobs {
		j.updateQueue(&configuration)
		if c.updateWaves(j) {
			c.markStale(j)
		}
	}
}

// beginDue starts the due occurrences of scheduled jobs.
func (c *Conductor) beginDue(now time.Time) {
	for id, j := range c.scheduled {
		due, ok := j.NextDue()
		if !ok {
			delete(c.scheduled, id)
			continue
		}
		if !due.After(now) && j.BeginDue(now) {
			c.markStale(j)
		}
	}
}

// changed marks a job for the next commit and for an update of its waiting steps.
func (c *Conductor) changed(j *job) {
	c.markDirty(j)
	c.markStale(j)
}

func (c *Conductor) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// State returns the state of a job as callers may see it.
func (c *Conductor) State(id specifier.JobID) (specifier.JobState, bool) {
	j := c.jobs[id]
	if j == nil {
		return specifier.Queued, false
	}
	return j.VisibleState(), true
}

// Waiting returns the number of unfinished jobs of a queue of which no task is known to have started.
func (c *Conductor) Waiting(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.queue.Name == queue && !j.State().Final() && !j.Started() {
			count++
		}
	}
	return count
}

func (c *Conductor) emit(command Command) {
	c.commands = append(c.commands, command)
}

func (c *Conductor) logDecision(name string, task specifier.TaskID, run int, server specifier.ServerID, detail string) {
	c.emit(Decision{Name: name, Task: task, Run: run, Server: server, Detail: detail})
}

func (c *Conductor) resign(reason string) {
	c.end(Resign{Reason: reason})
}

// end resigns, unless this owner has done so already.
func (c *Conductor) end(resignation Resign) {
	if !c.resigned {
		c.resigned = true
		c.emit(resignation)
	}
}
