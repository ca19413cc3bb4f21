package conductor

import (
	"time"

	"egretring.example/egretring/adviser"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// fencesPerOwner is how many fencing tokens each ownership has for each server; a token grows after a doubtful order.
const fencesPerOwner = 1 << 16

// Conductor is the core of the owner. It is not safe for concurrent use.
type Conductor struct {
	settings   settings
	firstFence int64
	startedAt  time.Time
	// inheritedUntil is when leases that earlier owners renewed have certainly ended.
	inheritedUntil time.Time
	configuration  specifier.Configuration

	jobs     map[specifier.JobID]*job
	sessions map[specifier.ServerID]*session
	// lastFences are the fencing tokens of servers that left the list. A server that comes back has seen them.
	lastFences map[specifier.ServerID]int64
	units      map[specifier.StepID]*unit
	lanes      [CommitLanes]lane
	dirty      []*job
	advisors   adviser.Pool

	commands []Command
	// cancelledEarly are cancellations that were read before their jobs.
	cancelledEarly map[specifier.JobID]bool
	// scheduled are the jobs with occurrences that have not begun.
	scheduled map[specifier.JobID]*job
	// replan is set when a waiting step may have become placeable; placeAgainAt bounds the time without a pass.
	replan       bool
	placeAgainAt time.Time
	// placeNotBefore keeps passes apart.
	placeNotBefore time.Time
	// commitNotBefore keeps commits apart.
	commitNotBefore time.Time
	// holdPass and sweepPass keep the looks at all servers apart, and expirePass those at all jobs.
	holdPass   throttle
	sweepPass  throttle
	expirePass throttle
	// reachableAt is when half of the listed servers were last reachable; the first look counts as such a time.
	reachableAt time.Time
	resigned    bool
}

// job is a job and what the conductor keeps beside its life.
type job struct {
	*lifecycler.Job
	queue    specifier.Queue
	dirty    bool
	inFlight bool
	// forgetting is set while the keys of the job are being deleted.
	forgetting bool
	// reserved are the runs that wait for a commit.
	reserved []*reservation
	units    []*unit
	advice   map[specifier.StepID]*advice
	// avoid are servers on which a run of the job failed.
	avoid map[specifier.ServerID]bool
}

type reservation struct {
	session *session
	*allocation
}

// New returns the core of an owner whose ownership began at a time under an epoch.
func New(now time.Time, epoch int64, options ...Option) *Conductor {
	c := &Conductor{
		settings:   settings{lease: defaultLease, longestLease: 2 * defaultLease, keepFinal: 3 * time.Minute},
		firstFence: epoch * fencesPerOwner,
		startedAt:  now,
		jobs:       make(map[specifier.JobID]*job),
		sessions:   make(map[specifier.ServerID]*session),
		lastFences: make(map[specifier.ServerID]int64),
		units:      make(map[specifier.StepID]*unit),
		scheduled:  make(map[specifier.JobID]*job),

		cancelledEarly: make(map[specifier.JobID]bool),
		holdPass:       throttle{interval: holdPassInterval},
		sweepPass:      throttle{interval: sweepInterval},
		expirePass:     throttle{interval: expireInterval},
	}
	for _, option := range options {
		option(&c.settings)
	}
	c.inheritedUntil = now.Add(handoverGrace + c.settings.lease)
	return c
}

// Handle applies one event. Commands are returned by Plan.
func (c *Conductor) Handle(now time.Time, event Event) {
	switch e := event.(type) {
	case JobArrived:
		c.arrive(now, e.Job)
	case JobCancelled:
		c.cancel(now, e.Job)
	case CommitEnded:
		c.commitEnded(now, e.Lane)
	case OrderEnded:
		c.orderEnded(now, e)
	case HoldEnded:
		c.holdEnded(now, e)
	case ServersListed:
		c.listed(now, e.Servers)
	case Configured:
		c.configured(e.Configuration)
	case AdvisorsChanged:
		c.advisors.Set(e.Advisors)
	case Advised:
		c.advised(now, e)
	case Forgotten:
		c.forgotten(e)
	case PredecessorsStopped:
		c.predecessorsStopped(now)
	}
}

// Plan decides what to do next and returns the commands of all events since the last call.
func (c *Conductor) Plan(now time.Time) []Command {
	c.beginDue(now)
	c.place(now)
	c.commit(now)
	if c.holdPass.begin(now) {
		c.hold(now)
	}
	if c.sweepPass.begin(now) {
		c.expire(now)
		c.resendStops(now)
		c.checkReach(now)
	}
	commands := c.commands
	c.commands = nil
	return commands
}

// restoreAllocations lets a restored job take the room of its recorded runs.
func (c *Conductor) restoreAllocations(j *job) {
	for _, step := range j.ReadySteps() {
		for i := range step.Tasks {
			task := step.Tasks[i]
			if task.State != lifecycler.Placed {
				continue
			}
			s := c.session(task.Server)
			s.add(&allocation{
				task: step.ID.Task(i), run: task.Run, need: step.Spec.Occupies(), state: confirmed, startedAt: c.startedAt,
			})
		}
	}
}

// Restore adds a job with the progress that the store has.
func (c *Conductor) Restore(now time.Time, restored *lifecycler.Job) {
	j := c.adopt(restored)
	if j.State().Final() {
		return
	}
	c.restoreAllocations(j)
	j.BeginDue(now)
	c.refresh(j)
}

func (c *Conductor) adopt(restored *lifecycler.Job) *job {
	j := &job{Job: restored, queue: restored.Spec.Queue, advice: make(map[specifier.StepID]*advice)}
	j.follow(&c.configuration)
	c.jobs[restored.Spec.ID] = j
	if restored.Spec.Occurrences > 0 && !restored.State().Final() {
		c.scheduled[restored.Spec.ID] = j
	}
	return j
}

func (c *Conductor) arrive(now time.Time, spec specifier.Job) {
	if c.jobs[spec.ID] != nil {
		return
	}
	j := c.adopt(lifecycler.New(spec))
	j.BeginDue(now)
	c.refresh(j)
	c.decide("JobTaken", specifier.TaskID{StepID: specifier.StepID{Job: spec.ID}}, 0, "", "")
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
	c.decide("JobCancelled", specifier.TaskID{StepID: specifier.StepID{Job: id}}, 0, "", "")
	c.changed(j)
	c.stopAll(now, j)
}

func (c *Conductor) configured(configuration specifier.Configuration) {
	if configuration.Revision < c.configuration.Revision {
		return
	}
	c.configuration = configuration
	for _, j := range c.jobs {
		j.follow(&configuration)
	}
}

// follow takes over the present settings of the job's queue, unless the queue was removed.
func (j *job) follow(configuration *specifier.Configuration) {
	if newer, ok := configuration.QueueNamed(j.queue.Name); ok {
		j.queue = newer
	}
}

// beginDue begins occurrences of scheduled jobs.
func (c *Conductor) beginDue(now time.Time) {
	for id, j := range c.scheduled {
		due, ok := j.NextDue()
		if !ok {
			delete(c.scheduled, id)
			continue
		}
		if !due.After(now) {
			j.BeginDue(now)
			c.refresh(j)
		}
	}
}

// changed marks a job for a commit and updates its waiting steps.
func (c *Conductor) changed(j *job) {
	c.markDirty(j)
	c.refresh(j)
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
	return j.ShownState(), true
}

// Waiting returns the number of accepted jobs of a queue of which no task has started.
func (c *Conductor) Waiting(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.queue.Name == queue && !j.State().Final() && !j.Begun() {
			count++
		}
	}
	return count
}

func (c *Conductor) emit(command Command) {
	c.commands = append(c.commands, command)
}

func (c *Conductor) decide(name string, task specifier.TaskID, run int, server specifier.ServerID, detail string) {
	c.emit(Decision{Name: name, Task: task, Run: run, Server: server, Detail: detail})
}

func (c *Conductor) resign(reason string) {
	if !c.resigned {
		c.resigned = true
		c.emit(Resign{Reason: reason})
	}
}
