package conductor_test

import (
	"slices"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// simulatedOwner is the owner of a shard of a simulation.
type simulatedOwner struct {
	shard int
	// epoch is zero and stateMachine nil while the shard has no owner.
	epoch int64
	// terms is the number of owners that the shard has had.
	terms        int
	stateMachine *conductor.Conductor
	// speeds are those that the last owner has stored.
	speeds []conductor.ServerSpeed
	// planned is set while a call of plan is scheduled.
	planned bool
}

// owner returns the owner of the first shard.
func (w *simulation) owner() *simulatedOwner {
	return w.owners[0]
}

// ownerIn returns the owner of an epoch, or nil after its end.
func (w *simulation) ownerIn(epoch int64) *simulatedOwner {
	for _, o := range w.owners {
		if o.stateMachine != nil && o.epoch == epoch {
			return o
		}
	}
	return nil
}

// ownerOf returns the owner of a job's shard.
func (w *simulation) ownerOf(id specifier.JobID) *simulatedOwner {
	if w.shardOf == nil {
		return w.owner()
	}
	return w.owners[w.shardOf(id)]
}

func (w *simulation) nextRevision() int64 {
	w.revision++
	return w.revision
}

// elect starts a new owner of the first shard.
func (w *simulation) elect() {
	w.electOwner(w.owner())
}

// electOwner starts a new owner that recovers its state from the store.
func (w *simulation) electOwner(o *simulatedOwner) {
	o.epoch = w.nextRevision()
	options := []conductor.Option{conductor.WithMaximumLease(10 * time.Second)}
	if o.terms == 0 {
		options = append(options, conductor.WithFirstTerm())
	}
	o.terms++
	if w.equalServers {
		options = append(options, conductor.WithEqualServers())
	}
	if w.movesStragglers {
		options = append(options, conductor.WithCheckpoints(w.checkpointInterval, w.restoreTime))
	}
	if len(w.owners) > 1 {
		options = append(options, conductor.WithShard(o.shard, w.homeOf))
	}
	o.stateMachine = conductor.New(w.now, o.epoch, options...)
	o.stateMachine.Handle(w.now, conductor.AdvisorsChanged{Advisors: w.advisorsOf(o)})
	if w.quota != nil {
		o.stateMachine.Handle(w.now, conductor.Configured{Configuration: w.quota.configuration})
	}
	w.list(o)
	if len(o.speeds) > 0 {
		w.deliver(o.epoch, conductor.SpeedsRead{Speeds: o.speeds})
	}
	for _, job := range w.submitted {
		if w.ownerOf(job.ID) != o {
			continue
		}
		record := w.record(job.ID)
		if record.State.Final() {
			// The submission is deleted with the write of the final state.
			job = specifier.Job{ID: job.ID}
		}
		restored, err := lifecycler.Restore(job, record)
		if err != nil {
			w.t.Fatalf("restore job %s: %v", job.ID, err)
		}
		o.stateMachine.Restore(w.now, restored)
	}
	for id := range w.cancelled {
		if w.ownerOf(id) == o {
			o.stateMachine.Handle(w.now, conductor.JobCancelled{Job: id})
		}
	}
	w.plan(o)
}

// advisorsOf returns the advisors of an owner; each has an equal part of them.
func (w *simulation) advisorsOf(o *simulatedOwner) []string {
	var advisors []string
	for i, advisor := range w.advisors {
		if i%len(w.owners) == o.shard {
			advisors = append(advisors, advisor)
		}
	}
	return advisors
}

// loseOwnerOf ends the owner of a shard; a successor is elected after takeoverTime.
func (w *simulation) loseOwnerOf(o *simulatedOwner) {
	o.stateMachine, o.epoch = nil, 0
	w.after(takeoverTime, func() { w.electOwner(o) })
}

// loseOwner ends the owner of the first shard.
func (w *simulation) loseOwner() {
	w.loseOwnerOf(w.owner())
}

// crashOwner ends the owner of the first shard; its successor is notified that it has stopped.
func (w *simulation) crashOwner() {
	w.loseOwner()
	w.after(takeoverTime, func() {
		epoch := w.owner().epoch
		w.after(predecessorCheckTime, func() { w.deliver(epoch, conductor.PredecessorsStopped{}) })
	})
}

// list tells an owner the listed servers and their transfers.
func (w *simulation) list(o *simulatedOwner) {
	var listed conductor.ServersListed
	for _, s := range w.servers {
		if entry, ok := s.entry(w); ok {
			listed.Servers = append(listed.Servers, entry)
		}
	}
	if len(w.owners) > 1 {
		listed.Transfers = []conductor.Transfer{}
		for _, t := range w.transfers {
			listed.Transfers = append(listed.Transfers, t)
		}
		slices.SortFunc(listed.Servers, func(a, b specifier.Server) int { return compareIDs(a.ID, b.ID) })
	}
	w.deliver(o.epoch, listed)
}

// deliver passes an event to the owner of an epoch, if it is still the owner.
func (w *simulation) deliver(epoch int64, event conductor.Event) {
	o := w.ownerIn(epoch)
	if o == nil {
		return
	}
	o.stateMachine.Handle(w.now, event)
	w.plan(o)
}

func (w *simulation) plan(o *simulatedOwner) {
	if o.stateMachine == nil {
		return
	}
	epoch := o.epoch
	for _, command := range o.stateMachine.Plan(w.now) {
		w.execute(epoch, command)
	}
	if o.stateMachine == nil {
		return
	}
	if next, due := o.stateMachine.NextPlan(); due && !o.planned {
		o.planned = true
		if earliest := w.now.Add(time.Millisecond); next.Before(earliest) {
			next = earliest
		}
		w.at(next, func() {
			o.planned = false
			w.plan(o)
		})
	}
}
