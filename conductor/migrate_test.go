package conductor_test

import (
	"fmt"
	"hash/fnv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// stragglerDay is a cell of 30 servers of which a third is 2.4 times as fast. From 12 to 15 s, six servers take five times as long.
type stragglerDay struct {
	*simulation
	// moves has the TaskMoved lines of each task, and refusals the MoveRefused lines.
	moves    map[specifier.TaskID][]conductor.Decision
	refusals []conductor.Decision
	// onMove is called with each move, if it is set.
	onMove func(conductor.Decision)
}

const (
	stragglerTraffic = 16 * time.Second
	stragglerLength  = 40 * time.Second
	stragglerStretch = 4
	// moveFaultSeeds is the number of cases of TestMovesUnderFaults. The seed of each is its number.
	moveFaultSeeds = 20
)

func newStragglerDay(t *testing.T, seed uint64, moves bool, advice bool, team string) *stragglerDay {
	d := &stragglerDay{simulation: newSimulation(t, seed, 30), moves: make(map[specifier.TaskID][]conductor.Decision)}
	d.checkpointInterval, d.restoreTime, d.stopTime, d.movesStragglers = time.Second, 250*time.Millisecond, 500*time.Millisecond, moves
	d.lengthOf = func(task specifier.TaskID, length time.Duration) time.Duration {
		h := fnv.New32a()
		_, _ = fmt.Fprint(h, seed, task)
		return time.Duration(float64(length) * (0.8 + 0.4*float64(h.Sum32()%1000)/1000))
	}
	for i := range 30 {
		s := d.servers[specifier.ServerID(fmt.Sprintf("i-%02d", i))]
		s.server.Capacity = specifier.Resources{MilliCores: 16000, MemoryMB: 65536}
		s.server.Labels = []string{string(s.server.ID)}
		s.speed = []float64{0.7, 0.7, 1.7}[i%3]
		if i%5 == 0 {
			d.at(d.start.Add(12*time.Second), func() { s.slowUntil, s.slowFactor = d.now.Add(3*time.Second), 5 })
		}
	}
	d.onDecision = func(c conductor.Decision) {
		switch c.Name {
		case "TaskMoved":
			d.moves[c.Task] = append(d.moves[c.Task], c)
			if d.onMove != nil {
				d.onMove(c)
			}
		case "MoveRefused":
			d.refusals = append(d.refusals, c)
		}
	}
	// The successor gets the options of the day.
	d.loseOwnerOf(d.owner())
	number := 0
	for at := 2 * time.Second; at < stragglerTraffic; at += 200 * time.Millisecond {
		number++
		job := newJob(number, jobOptions{Tasks: 10, MilliCores: 3000, Seconds: 2, Advice: advice, Priority: 2, Attempts: 2, Team: team})
		job.Steps[0].Checkpointing = true
		job.Queue.Stretch, job.Queue.TargetLatency = stragglerStretch, 3*time.Second
		d.at(d.start.Add(at), func() { d.submit(job) })
	}
	return d
}

// targetOf returns the server to which a task moves.
func targetOf(move conductor.Decision) specifier.ServerID {
	target, _, _ := strings.Cut(strings.TrimPrefix(move.Detail, "to "), ";")
	return specifier.ServerID(target)
}

// late returns the number of jobs that did not end within their objective.
func (d *stragglerDay) late() int {
	late := 0
	for _, job := range d.submitted {
		allowed := stragglerStretch*job.Steps[0].Estimate + 3*time.Second
		var ended time.Time
		for i := range job.Steps[0].Count {
			for _, r := range d.runsOf[specifier.StepID{Job: job.ID}.Task(i)] {
				if r.endedAt.After(ended) {
					ended = r.endedAt
				}
			}
		}
		if d.state(job.ID) != specifier.Completed || ended.Sub(job.AcceptedAt) > allowed {
			late++
		}
	}
	return late
}

// requireRules checks that no rule was broken, that all jobs have completed, and that no task has moved twice.
func (d *stragglerDay) requireRules(t *testing.T) {
	require.Empty(t, d.violations)
	for _, job := range d.submitted {
		require.Equal(t, specifier.Completed, d.state(job.ID), job.ID)
	}
	for task, moves := range d.moves {
		require.Len(t, moves, 1, task)
	}
}

// TestTaskFarBehindMoves guards against jobs that are late because one task stays on a server that has become slow, and against moves that
// break a rule or repeat.
func TestTaskFarBehindMoves(t *testing.T) {
	for _, advice := range []bool{false, true} {
		t.Run(fmt.Sprintf("advice=%t", advice), func(t *testing.T) {
			before, now := 0, 0
			for seed := range uint64(3) {
				without := newStragglerDay(t, seed, false, advice, "")
				without.runUntil(stragglerLength)
				without.requireRules(t)
				require.Empty(t, without.moves)
				with := newStragglerDay(t, seed, true, advice, "")
				with.runUntil(stragglerLength)
				with.requireRules(t)
				t.Logf("seed %d: %d of %d jobs late without moves, %d with %d moves", seed, without.late(), len(with.submitted), with.late(), len(with.moves))
				before += without.late()
				now += with.late()
			}
			require.Less(t, now, before/2)
		})
	}
}

// TestTaskMovesOnce guards against tasks that move from server to server while several of them are slow.
func TestTaskMovesOnce(t *testing.T) {
	d := newStragglerDay(t, 1, true, false, "")
	d.onMove = func(move conductor.Decision) {
		s := d.servers[targetOf(move)]
		s.slowUntil, s.slowFactor = d.now.Add(3*time.Second), 60
	}
	d.runUntil(3 * stragglerLength)
	require.NotEmpty(t, d.moves)
	d.requireRules(t)
}

// TestRefusedMoveReturns guards against a job that has fewer runs than before for long because the new server of a task refuses it.
func TestRefusedMoveReturns(t *testing.T) {
	for _, advice := range []bool{false, true} {
		t.Run(fmt.Sprintf("advice=%t", advice), func(t *testing.T) {
			d := newStragglerDay(t, 1, true, advice, "")
			d.onMove = func(move conductor.Decision) {
				d.servers[targetOf(move)].refusesUntil = d.now.Add(2 * time.Second)
				// These tasks take what becomes free on the former server.
				number := 1000 + len(d.moves)
				filler := newJob(number, jobOptions{Tasks: 40, MilliCores: 1000, Seconds: 0.5, Label: string(move.Server), Priority: 2})
				d.after(0, func() { d.submit(filler) })
			}
			d.runUntil(stragglerLength)
			d.requireRules(t)
			t.Logf("%d of %d moves were refused", len(d.refusals), len(d.moves))
			require.NotEmpty(t, d.refusals)
			for _, refusal := range d.refusals {
				runs, from := d.runsOf[refusal.Task], d.moves[refusal.Task][0].Server
				require.Len(t, runs, 2)
				require.Equal(t, from, runs[1].server.server.ID, "the task starts again where it was")
				require.Less(t, runs[1].begunAt.Sub(runs[0].endedAt), 500*time.Millisecond)
				require.NotZero(t, runs[1].saved, "it resumes from its checkpoint")
			}
		})
	}
}

// TestOwnerEndsDuringMove guards against a task that runs twice or never again because the owner ends while its former run is being
// stopped, or while its new start has no response.
func TestOwnerEndsDuringMove(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * time.Millisecond, 505 * time.Millisecond, 510 * time.Millisecond, 520 * time.Millisecond, time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			d := newStragglerDay(t, 1, true, true, "")
			var moved conductor.Decision
			d.onMove = func(c conductor.Decision) {
				if moved.Task != (specifier.TaskID{}) {
					return
				}
				moved = c
				d.after(delay, d.crashOwner)
			}
			d.runUntil(stragglerLength + 10*time.Second)
			require.NotEmpty(t, moved.Task)
			require.Empty(t, d.violations)
			for _, job := range d.submitted {
				require.Equal(t, specifier.Completed, d.state(job.ID), job.ID)
			}
		})
	}
}

// TestMovesKeepQuota guards against moves that bring a team above its limit, or that a team at its limit makes.
func TestMovesKeepQuota(t *testing.T) {
	for cores, moves := range map[int64]bool{400: true, 90: false} {
		d := newStragglerDay(t, 1, true, false, "a")
		d.configure(map[string]int64{"a": cores})
		d.runUntil(2 * stragglerLength)
		d.requireRules(t)
		require.Equal(t, moves, len(d.moves) > 0)
		t.Logf("limit of %d cores: at most %d millicores, %d moves", cores, d.quota.most["a"], len(d.moves))
	}
}

// TestMovesUnderFaults guards against violated rules and unfinished jobs when servers or the owner fail during moves.
func TestMovesUnderFaults(t *testing.T) {
	kinds := []string{"Silent", "Crash", "LoseAnswers", "DelayStarts", "StoreDown", "LoseOwner", "CrashOwner", "NoConnections"}
	moves := 0
	for seed := range uint64(moveFaultSeeds) {
		d := newStragglerDay(t, seed, true, seed%2 == 0, "")
		d.onMove = func(move conductor.Decision) {
			if d.random.IntN(6) > 0 {
				return
			}
			d.schedule(scriptEvent{
				At: d.now.Sub(d.start).Seconds() + d.random.Float64(), Kind: kinds[d.random.IntN(len(kinds))],
				Server: []string{string(move.Server), string(targetOf(move))}[d.random.IntN(2)], For: 0.2 + 4*d.random.Float64(),
			})
		}
		d.runUntil(3 * stragglerLength)
		moves += len(d.moves)
		require.Empty(t, d.violations, "seed %d", seed)
		for _, job := range d.submitted {
			require.Equal(t, specifier.Completed, d.state(job.ID), "seed %d, job %s", seed, job.ID)
		}
	}
	t.Logf("%d moves", moves)
}
