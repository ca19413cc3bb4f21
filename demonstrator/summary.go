package demonstrator

import (
	"time"

	"egretring.example/egretring/fakekeeper"
)

// result builds the result of the run from the counters of the stand-ins and the callers.
func (d *demo) result(before fakekeeper.Calls, elapsed time.Duration) Result {
	violations := d.cell.ledger.Violations()
	result := Result{
		Deployment: d.options.Deployment, Seed: d.options.Seed,
		Lost:           violations.Lost,
		Doubled:        violations.DoubledKeys + int(violations.DoubledTasks),
		RunAfterNotRun: violations.RunAfterNotRun,
		WrongAnswers:   d.tally.wrongAnswers,
		CutDuringDrain: int(d.failedDrains.Load()),
		Classes:        d.tally.results(),
		TasksWanted:    d.tasks.wanted,
		TasksRunning:   d.tasks.running,
		TasksLowest:    d.tasks.lowest,
		TasksStarted:   d.tasks.started,
		Packing:        d.tasks.packing,
		Events:         d.events,
	}
	for _, class := range result.Classes {
		result.Sent += class.Sent
		result.Answered += class.Answered
		result.NotRun += class.NotRun
		result.Unknown += class.Unknown
		result.Failed += class.Failed
		result.Cancelled += class.Cancelled
		result.Silent += class.Silent
	}
	result.OverCapacity = d.cell.OverCapacity()
	if d.leaving != nil && d.leaving.Counters().LatestWhileLeaving > leavingNotice {
		result.LateToLeaving = 1
	}
	result.Control = controlOf(before, d.cell.platform.store.Calls(), elapsed)
	return result
}

func controlOf(before, after fakekeeper.Calls, elapsed time.Duration) Control {
	perSecond := func(calls int64) float64 { return float64(calls) / elapsed.Seconds() }
	return Control{
		StoreWritesPerSecond: perSecond(after.Writes - before.Writes),
		StoreReadsPerSecond:  perSecond(after.Reads - before.Reads),
		WatchesPerSecond:     perSecond(after.Watches - before.Watches),
	}
}
