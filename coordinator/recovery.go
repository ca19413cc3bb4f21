package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/timekeeper"
)

// recover builds the state machine from the store. Since the election, writes of earlier owners fail, so that the
// entries that are read now are complete.
func (o *owner) recover(ctx context.Context) error {
	now := o.settings.clock.Now()
	options := append(slices.Clone(o.settings.conductor), conductor.WithRefusedOwners(o.refusedBefore))
	if o.first {
		options = append(options, conductor.WithFirstTerm())
	}
	o.stateMachine = conductor.New(now, o.ownership.Epoch, options...)
	if configuration := o.configuration.Load(); configuration != nil {
		o.stateMachine.Handle(now, conductor.Configured{Configuration: *configuration})
	}
	stored, err := o.readStored(ctx)
	if err != nil {
		return err
	}
	o.intakeRevision, o.intakeReadAt = stored.intake.Revision, stored.intakeReadAt
	o.recovered = stored.listed
	o.stateMachine.Handle(now, stored.listed)
	for id, record := range stored.records {
		if record.State.Final() {
			o.restore(specifier.Job{ID: id, Team: record.Team}, record)
		}
	}
	for _, entry := range stored.intake.Entries {
		o.restoreSubmitted(entry, stored.records)
	}
	for _, entry := range stored.intake.Entries {
		if kind, id := intaker.ParseKey(entry.Key); kind == intaker.Cancellation {
			o.stateMachine.Handle(now, conductor.JobCancelled{Job: id})
		}
	}
	return nil
}

// restoreSubmitted restores a job that has a submission, with the progress of its record.
func (o *owner) restoreSubmitted(entry keeper.Entry, records map[specifier.JobID]lifecycler.Record) {
	kind, id := intaker.ParseKey(entry.Key)
	if kind != intaker.SubmittedJob {
		return
	}
	var spec specifier.Job
	if err := json.Unmarshal(entry.Value, &spec); err != nil {
		o.settings.logger.Error("failed to decode submitted job", "Job", id, "Error", err.Error())
		return
	}
	o.restore(spec, records[id])
}

func (o *owner) restore(spec specifier.Job, record lifecycler.Record) {
	job, err := lifecycler.Restore(spec, record)
	if err != nil {
		o.settings.logger.Error("failed to restore job from its record", "Job", spec.ID, "Error", err.Error())
		return
	}
	o.stateMachine.Restore(o.settings.clock.Now(), job)
}

func (o *owner) readRecords(ctx context.Context) (map[specifier.JobID]lifecycler.Record, error) {
	page, err := o.settings.store.List(ctx, intaker.StatePrefix)
	if err != nil {
		return nil, errors.Wrap(err, "list job records")
	}
	records := make(map[specifier.JobID]lifecycler.Record, len(page.Entries))
	for _, entry := range page.Entries {
		record, err := lifecycler.DecodeRecord(entry.Value)
		if err != nil {
			o.settings.logger.Error("failed to decode job record", "Key", entry.Key, "Error", err.Error())
			continue
		}
		records[intaker.JobOfStateKey(entry.Key)] = record
	}
	return records, nil
}

func (o *owner) readLanes(ctx context.Context) error {
	page, err := o.settings.store.List(ctx, lanePrefix)
	if err != nil {
		return errors.Wrap(err, "list lanes")
	}
	o.laneRevisions = [len(o.laneRevisions)]int64{}
	for _, entry := range page.Entries {
		lane, err := strconv.Atoi(strings.TrimPrefix(entry.Key, lanePrefix))
		if err == nil && lane >= 0 && lane < len(o.laneRevisions) {
			o.laneRevisions[lane] = entry.Revision
		}
	}
	return nil
}

// watchIntake watches the store for new submissions and cancellations and posts them to the state machine.
func (o *owner) watchIntake(ctx context.Context) {
	after := o.intakeRevision
	for ctx.Err() == nil {
		sentAt := o.settings.clock.Now()
		changes, err := o.settings.store.Watch(ctx, keeper.WatchOptions{
			Prefix: intaker.Prefix, AfterRevision: after, Wait: intakeWait,
		})
		switch {
		case keeper.IsErrCompacted(err):
			o.settings.logger.Warn("store forgot its history; submissions are listed again", "AfterRevision", after)
			after = o.relist(ctx, after)
			continue
		case err != nil:
			timekeeper.Sleep(ctx, retryInterval)
			continue
		}
		if len(changes.Changes) == 0 {
			after = o.relist(ctx, after)
			continue
		}
		for _, change := range changes.Changes {
			if !change.Deleted {
				o.take(change.Entry)
			}
		}
		after, o.intakeReadAt = max(after, changes.Revision), sentAt
		timekeeper.Sleep(ctx, intakePause)
	}
}

// relist lists all submissions and cancellations, and returns the revision after which to continue watching.
func (o *owner) relist(ctx context.Context, after int64) int64 {
	listedAt := o.settings.clock.Now()
	page, err := o.settings.store.List(ctx, intaker.Prefix)
	if err != nil {
		timekeeper.Sleep(ctx, retryInterval)
		return after
	}
	for _, entry := range page.Entries {
		if entry.Revision > o.intakeRevision {
			o.take(entry)
		}
	}
	o.intakeRevision, o.intakeReadAt = page.Revision, listedAt
	return page.Revision
}

// take posts a submission or cancellation to the state machine, which ignores those that it already knows.
func (o *owner) take(entry keeper.Entry) {
	kind, id := intaker.ParseKey(entry.Key)
	switch kind {
	case intaker.SubmittedJob:
		var spec specifier.Job
		if err := json.Unmarshal(entry.Value, &spec); err != nil {
			o.settings.logger.Error("failed to decode submitted job", "Job", id, "Error", err.Error())
			return
		}
		o.post(conductor.JobArrived{Job: spec, StoredAfter: o.intakeReadAt})
	case intaker.Cancellation:
		o.post(conductor.JobCancelled{Job: id})
	}
}
