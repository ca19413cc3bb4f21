package migrator_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/migrator"
	"egretring.example/egretring/specifier"
)

const (
	checkpointInterval = 2 * time.Second
	restoreTime        = 250 * time.Millisecond
	stopAndStart       = time.Second
	playSeed           = 20261207
)

var epoch = time.Unix(1_700_000_000, 0)

func newMigrator() *migrator.Migrator {
	return migrator.New(migrator.WithCheckpoints(checkpointInterval, restoreTime))
}

// stepWithEnds returns a migrator that knows the ends of nine of ten tasks of a step, which took two seconds at the average speed.
func stepWithEnds() (*migrator.Migrator, specifier.StepID) {
	m, id := newMigrator(), specifier.StepID{Job: "a"}
	for range 9 {
		m.Observe(epoch, id, 2*time.Second, 1)
	}
	return m, id
}

// TestDecisions guards against moves that cost more than they gain, and against tasks that stay although their job would be late.
func TestDecisions(t *testing.T) {
	m, id := stepWithEnds()
	onSlow := migrator.Task{
		Step: id, Count: 10, Elapsed: 8 * time.Second, Speed: 1, TargetSpeed: 1.7, Percent: 100, Saved: true, Beside: 4, BesideBehind: 4, Left: 6 * time.Second,
	}
	for name, test := range map[string]struct {
		change func(*migrator.Task)
		moves  bool
	}{
		"server is slower than known":              {func(*migrator.Task) {}, true},
		"runs as long as the others":               {func(t *migrator.Task) { t.Elapsed = 3 * time.Second }, false},
		"job is in time without a move":            {func(t *migrator.Task) { t.Left = 10 * time.Second }, false},
		"job is late in any case":                  {func(t *migrator.Task) { t.Left = time.Second }, false},
		"nothing is saved":                         {func(t *migrator.Task) { t.Saved = false }, false},
		"more work, and no faster server":          {func(t *migrator.Task) { t.TargetSpeed, t.BesideBehind = 1, 0 }, false},
		"more work, and a faster server":           {func(t *migrator.Task) { t.Speed, t.BesideBehind = 0.7, 0 }, true},
		"slow server, and one of the same speed":   {func(t *migrator.Task) { t.TargetSpeed, t.Beside, t.BesideBehind = 1, 9, 9 }, true},
		"speed of the server is not known":         {func(t *migrator.Task) { t.Speed = 0 }, false},
		"few of the others have ended":             {func(t *migrator.Task) { t.Count = 100 }, false},
		"nothing is known about the step":          {func(t *migrator.Task) { t.Step.Step = 1 }, false},
		"server gives the run a part of its speed": {func(t *migrator.Task) { t.Percent, t.Left = 8, 5*time.Second }, true},
		"no report yet":                            {func(t *migrator.Task) { t.Percent = 0 }, true},
	} {
		t.Run(name, func(t *testing.T) {
			task := onSlow
			test.change(&task)
			d := m.Decide(task)
			require.Equal(t, test.moves, d.Moves, d.Text(task))
		})
	}
}

// TestWithoutCheckpointsNothingMoves guards against moves where the time between checkpoints is not known.
func TestWithoutCheckpointsNothingMoves(t *testing.T) {
	m, id := migrator.New(), specifier.StepID{Job: "a"}
	for range 9 {
		m.Observe(epoch, id, time.Second, 1)
	}
	require.False(t, m.IsBehind(id, 10, time.Minute))
	require.False(t, m.Decide(migrator.Task{Step: id, Count: 10, Elapsed: time.Minute, Speed: 1, TargetSpeed: 2, Saved: true}).Moves)
}

// TestOldStepsAreForgotten guards against memory that grows with each step.
func TestOldStepsAreForgotten(t *testing.T) {
	m, id := stepWithEnds()
	require.True(t, m.IsBehind(id, 10, 10*time.Second))
	m.Observe(epoch.Add(2*time.Minute), specifier.StepID{Job: "b"}, time.Second, 1)
	require.False(t, m.IsBehind(id, 10, 10*time.Second))
}

// playedStep are the results of a step: the time until its last task ends, the moves, and the run time that they discarded.
type playedStep struct {
	end       time.Duration
	moves     int
	discarded time.Duration
}

// playedTask is a task that is played: its work at speed one, and the speed of its server as known and as it is.
type playedTask struct{ work, known, actual float64 }

// playStep plays a step of tasks that all start at once, with the time that is left for it.
func playStep(m *migrator.Migrator, id specifier.StepID, tasks []playedTask, left time.Duration) playedStep {
	const tick = 250 * time.Millisecond
	var played playedStep
	open := make(map[int]bool)
	for i := range tasks {
		open[i] = true
	}
	for elapsed := tick; len(open) > 0; elapsed += tick {
		for i, task := range tasks {
			end := time.Duration(task.work / task.actual * float64(time.Second))
			if !open[i] {
				continue
			}
			if end <= elapsed {
				delete(open, i)
				m.Observe(epoch, id, end, task.known)
				played.end = max(played.end, end)
				continue
			}
			beside, behind := 2, 0
			if task.actual < task.known {
				behind = beside
			}
			saved := elapsed.Truncate(checkpointInterval)
			d := m.Decide(migrator.Task{
				Step: id, Count: len(tasks), Elapsed: elapsed, Speed: task.known, TargetSpeed: 1.7, Percent: 100, Saved: saved > 0, Left: left - elapsed,
				Beside: beside, BesideBehind: behind,
			})
			if !d.Moves {
				continue
			}
			delete(open, i)
			rest := task.work - saved.Seconds()*task.actual
			played.moves++
			played.discarded += elapsed - saved
			played.end = max(played.end, elapsed+stopAndStart+restoreTime+time.Duration(rest/1.7*float64(time.Second)))
		}
	}
	return played
}

// playLoad plays steps of the second customer's batch queue on servers of which a third is 2.4 times as fast. One task in tail has four times
// the work, and one server in slowed takes four times as long as known; zero stands for none. It returns the number of late steps and of moves.
func playLoad(m *migrator.Migrator, tail, slowed int) (late, moves int, discarded time.Duration) {
	const steps, mean, objective, waited = 2000, 2.9, 14600 * time.Millisecond, 3 * time.Second
	random := rand.New(rand.NewPCG(playSeed, 1))
	for number := range steps {
		work := mean * math.Exp(0.45*random.NormFloat64()-0.1)
		tasks := make([]playedTask, 8+random.IntN(30))
		for i := range tasks {
			speed := []float64{0.7, 0.7, 1.7}[random.IntN(3)]
			tasks[i] = playedTask{work: work * math.Exp(0.22*random.NormFloat64()), known: speed, actual: speed}
			if tail > 0 && random.IntN(tail) == 0 {
				tasks[i].work *= 4
			}
			if slowed > 0 && random.IntN(slowed) == 0 {
				tasks[i].actual /= 4
			}
		}
		played := playStep(m, specifier.StepID{Job: specifier.JobID(strconv.Itoa(number))}, tasks, objective-waited)
		if played.end > objective-waited {
			late++
		}
		moves += played.moves
		discarded += played.discarded
	}
	return late, moves, discarded
}

// TestPlayedLoad guards against rules that make more steps late than they save, or that move tasks where nothing is gained.
func TestPlayedLoad(t *testing.T) {
	for name, load := range map[string]struct {
		tail, slowed int
		// mostLate is the largest part of the steps that are late without moves that may be late with them, and mostMoves that of the moves for
		// each step that is late without them.
		mostLate, mostMoves float64
	}{
		"usual speeds":    {0, 0, 1, 0.25},
		"long tail":       {400, 0, 0.95, 0.5},
		"slow period":     {0, 200, 0.6, 0.9},
		"tail and period": {400, 200, 0.7, 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			without, none, _ := playLoad(migrator.New(), load.tail, load.slowed)
			late, moves, discarded := playLoad(newMigrator(), load.tail, load.slowed)
			t.Logf("seed %d: %d of 2000 steps late without moves, %d with %d moves that discard %s", playSeed, without, late, moves, discarded)
			require.Zero(t, none)
			require.LessOrEqual(t, float64(late), load.mostLate*float64(without))
			require.LessOrEqual(t, float64(moves), load.mostMoves*float64(without))
		})
	}
}

// BenchmarkDecide measures a decision.
func BenchmarkDecide(b *testing.B) {
	m, id := stepWithEnds()
	task := migrator.Task{Step: id, Count: 10, Elapsed: 8 * time.Second, Speed: 1, TargetSpeed: 1.7, Percent: 100, Saved: true, Left: time.Second}
	for b.Loop() {
		m.Decide(task)
	}
}
