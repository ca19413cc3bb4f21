package placer

import (
	"slices"
	"time"

	"egretring.example/egretring/describer"
)

// ageingStep is added to the submission time of a job for each class below Urgent, and the queue is ordered by the sum.
// It bounds the wait of deferrable work under a steady stream of standard work.
const ageingStep = 5 * time.Minute

// job is the state of a job with tasks in this zone.
type job struct {
	description describer.Job
	estimate    needEstimate
	// need is the declared or learned need of a task.
	need describer.Resources
	// peak is the highest measured use of a task in each dimension.
	peak       describer.Resources
	runTime    runTimeEstimate
	placements map[int]*placement
	// racks counts the placed tasks of a service by rack.
	racks   map[int]int
	pending *entry
}

func newJob(description describer.Job) *job {
	return &job{
		description: description,
		estimate:    newNeedEstimate(description.PerTask),
		need:        description.PerTask,
		placements:  make(map[int]*placement),
		racks:       make(map[int]int),
	}
}

// describe replaces the description. A changed need per task resets the learned need.
func (j *job) describe(description describer.Job) {
	if description.PerTask != j.description.PerTask {
		j.estimate = newNeedEstimate(description.PerTask)
		j.need = description.PerTask
		j.peak = describer.Resources{}
	}
	j.description = description
}

// observe updates the learned need from a sample. The need is limited to the capacity of the largest backend server, or
// to the declared need if that is larger, so that the job can still be placed.
func (j *job) observe(used, largest describer.Resources) {
	j.estimate.observe(used)
	j.peak = larger(j.peak, used)
	declared := j.description.PerTask
	j.need = smaller(j.estimate.need(declared), larger(declared, largest))
}

// limitNeed limits the learned need of a gang job that does not fit the zone to the declared need, with which it was
// assigned to the zone, or to the measured use if that is higher: a gang that is placed with less than it uses would be
// restarted again and again.
func (j *job) limitNeed() {
	if j.isGang() {
		j.need = smaller(j.need, larger(j.description.PerTask, j.peak))
	}
}

func (j *job) isGang() bool {
	return j.description.Policy == describer.GangJob
}

func (j *job) isService() bool {
	return j.description.Policy == describer.ServiceJob
}

// entry is a job in the queue of tasks that wait for placement.
type entry struct {
	job     *job
	indices []int
	// priorityTime is the time of submission, later by ageingStep for each class below Urgent.
	priorityTime time.Time
	// blockedSince is the time since which a task of the job has fitted on no backend server. It is reset by a
	// placement.
	blockedSince time.Time
	// turn orders the jobs that wait for the reservation. It is priorityTime until a search for a reservation fails
	// or a reservation is not fulfilled in time.
	turn time.Time
	// reserveAt is the earliest time of the next search for a reservation after one that failed.
	reserveAt time.Time
	// retryAt is the earliest time of the next placement attempt of a gang job. It limits the attempts, because each
	// costs a search for each task.
	retryAt time.Time
}

func newEntry(now time.Time, j *job) *entry {
	at := priorityTime(now, j)
	return &entry{job: j, priorityTime: at, turn: at}
}

func priorityTime(submittedAt time.Time, j *job) time.Time {
	return submittedAt.Add(time.Duration(j.description.Class) * ageingStep)
}

// taskCount returns how many tasks of the entry have to be placed at the same time.
func (e *entry) taskCount() int {
	if e.job.isGang() {
		return len(e.indices)
	}
	return 1
}

// insert adds an entry to the pending queue, which is sorted by priorityTime.
func (p *Placer) insert(e *entry) {
	at, _ := slices.BinarySearchFunc(p.pending, e, func(a, b *entry) int {
		if a.priorityTime.After(b.priorityTime) {
			return 1
		}
		return -1
	})
	p.pending = slices.Insert(p.pending, at, e)
}

// submit queues tasks of a job.
func (p *Placer) submit(now time.Time, description describer.Job, indices []int) {
	j := p.jobOf(description)
	if j.pending == nil {
		j.pending = newEntry(now, j)
		p.insert(j.pending)
	}
	j.pending.indices = append(j.pending.indices, indices...)
	p.dirty = true
}

func (p *Placer) jobOf(description describer.Job) *job {
	j := p.jobs[description.ID]
	if j == nil {
		j = newJob(description)
		p.jobs[description.ID] = j
		return j
	}
	j.describe(description)
	return j
}

// withdraw removes tasks from the queue. Tasks for which PlaceTask has been emitted are not affected.
func (p *Placer) withdraw(id describer.JobID, indices []int) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	for _, index := range indices {
		if place := j.placements[index]; place != nil && place.waiting {
			p.removePlacement(place)
		}
	}
	if j.pending == nil {
		return
	}
	withdrawn := make(map[int]bool, len(indices))
	for _, index := range indices {
		withdrawn[index] = true
	}
	j.pending.indices = slices.DeleteFunc(j.pending.indices, func(index int) bool { return withdrawn[index] })
	p.removeEmptyEntries()
}

// removeEmptyEntries removes the entries without waiting tasks and cancels the reservation of a removed entry.
func (p *Placer) removeEmptyEntries() {
	p.pending = slices.DeleteFunc(p.pending, func(e *entry) bool {
		if len(e.indices) > 0 {
			return false
		}
		e.job.pending = nil
		if p.reservation != nil && p.reservation.holder == e {
			p.cancelReservation()
		}
		return true
	})
}

// removeJob removes a job without tasks, and with it its estimates.
func (p *Placer) removeJob(id describer.JobID) {
	j := p.jobs[id]
	if j != nil && j.pending == nil && len(j.placements) == 0 {
		delete(p.jobs, id)
	}
}
