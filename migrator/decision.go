package migrator

import (
	"fmt"
	"math"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// stopTime is how long a run that is being stopped lasts; the platform states 900 ms.
	stopTime = 900 * time.Millisecond
	// startTime is the time from the end of the former run to the start of the next: a report, a commit and an order.
	startTime = 100 * time.Millisecond
	// doneShare is the part of the work that a task on a server that is slower than known is assumed to have done. Nothing reports it.
	doneShare = 0.5
	// minBeside is the number of other runs on a server from which on they say whether it is slower than known.
	minBeside = 2
)

// Task is a running task, and the server to which it could move.
type Task struct {
	Step specifier.StepID
	// Count is the number of tasks of the step.
	Count int
	// Elapsed is the time since the start of the run.
	Elapsed time.Duration
	// Speed is the speed of the server relative to the average, as known from earlier runs, and Percent the part of it that the server reports
	// to allow the run, or zero without a report. TargetSpeed is the speed of the other server.
	Speed, TargetSpeed float64
	Percent            int
	// Saved is set once the run has reported a checkpoint.
	Saved bool
	// Beside is the number of other runs on the server whose steps have ends, and BesideBehind how many of them are far behind.
	Beside, BesideBehind int
	// Left is the time until the step has to end for the value that the result of its job still has.
	Left time.Duration
}

// Decision is a decision about a task, with what it is based on.
type Decision struct {
	Moves bool
	// Typical is the typical run time of the step, and Ends the number of ends that it is known from.
	Typical time.Duration
	Ends    int
	// ServerShare is the assumed probability that the server is slower than known and the task has no more work than the others.
	ServerShare float64
	// Stay and Move are the expected times until the task ends where it is, and on the other server.
	Stay, Move time.Duration
	// Discarded is the run time that is lost by the move.
	Discarded time.Duration
}

// Decide decides whether a task moves.
func (m *Migrator) Decide(t Task) Decision {
	if !m.Enabled() || t.Speed <= 0 || t.TargetSpeed <= 0 || !m.IsBehind(t.Step, t.Count, t.Elapsed) {
		return Decision{}
	}
	known := m.steps[t.Step]
	d := Decision{Typical: seconds(known.typicalRun()), Ends: known.count, Discarded: t.Elapsed}
	if t.Saved {
		d.Discarded = min(t.Elapsed, m.checkpointInterval)
	}
	work, elapsed := known.work(), t.Elapsed.Seconds()
	speed := t.Speed
	if t.Percent > 0 {
		speed *= float64(t.Percent) / 100
	}
	overhead := stopTime + startTime
	if t.Saved {
		overhead += m.restoreTime
	}
	lost := d.Discarded.Seconds() / elapsed
	var stay, rest float64
	if done := elapsed * speed / work; done < 1 || done < farBehind && !t.serverIsSuspect() {
		// The known speed of the server explains the delay.
		remaining := math.Max(1-done, taskSpread) * work
		stay, rest = remaining/speed, remaining+lost*elapsed*speed
	} else {
		// What has taken longer than expected is expected to take as long again.
		d.ServerShare = float64(1+t.BesideBehind) / float64(2+t.Beside)
		ifServer := (1 - doneShare + lost*doneShare) * work
		ifTask := (1 + lost) * elapsed * speed
		stay, rest = elapsed, d.ServerShare*ifServer+(1-d.ServerShare)*ifTask
	}
	d.Stay, d.Move = seconds(stay), overhead+seconds(rest/t.TargetSpeed)
	// A job that is late in any case gains nothing. Without this condition, 9 of 2,000 steps on servers of known speeds became late because of moves
	// (TestPlayedLoad).
	d.Moves = d.Stay > t.Left && d.Move <= t.Left && d.Stay-d.Move > d.Discarded
	return d
}

// serverIsSuspect reports whether most of several runs beside the task are far behind, too.
func (t Task) serverIsSuspect() bool {
	return t.Beside >= minBeside && 2*t.BesideBehind > t.Beside
}

// Text describes the decision and its inputs.
func (d Decision) Text(t Task) string {
	return fmt.Sprintf("ran for %s, others of its step for %s (%d ends); speed %.2f at %d%%, %.2f there; %d of %d runs beside it are behind; "+
		"expected to end after %s, there after %s, %s discarded; %s until the objective",
		t.Elapsed.Round(time.Millisecond), d.Typical.Round(time.Millisecond), d.Ends, t.Speed, t.Percent, t.TargetSpeed, t.BesideBehind, t.Beside,
		d.Stay.Round(time.Millisecond), d.Move.Round(time.Millisecond), d.Discarded.Round(time.Millisecond), t.Left.Round(time.Millisecond))
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s*float64(time.Second), math.MaxInt64/4))
}
