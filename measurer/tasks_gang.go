package measurer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

const (
	gangServers = 240
	// gangInterval is the time between two gang jobs.
	gangInterval = 45 * time.Second
	gangRun      = 30 * time.Minute
	// smallBacklog is how many small tasks wait at any time.
	smallBacklog = 200
)

var (
	gangServer = describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}
	smallSize  = describer.Resources{MilliCores: 1_000, MemoryBytes: 2 * gigabyte}
	gangSize   = describer.Resources{MilliCores: 4_000, MemoryBytes: 8 * gigabyte}
)

// gangWorld runs gang jobs in a zone that a steady stream of small tasks keeps full.
type gangWorld struct {
	*tasksRun
	random    *rand.Rand
	small     describer.Job
	gangs     map[describer.JobID]*gang
	nextSmall int
	waiting   int
	heldTime  float64
	wholeTime float64
	busyTime  float64
}

type gang struct {
	description describer.Job
	submittedAt time.Time
	startedAt   time.Time
	placed      int
	runTime     time.Duration
}

func sortUsage(tasks []placer.TaskUsage) {
	slices.SortFunc(tasks, func(a, b placer.TaskUsage) int {
		if a.Task.Job != b.Task.Job {
			return strings.Compare(string(a.Task.Job), string(b.Task.Job))
		}
		return a.Task.Index - b.Task.Index
	})
}

func newGangWorld(seed uint64) *gangWorld {
	w := &gangWorld{
		tasksRun: newTasksRun(zoneServers(gangServers, gangServer)), random: rand.New(rand.NewPCG(seed, 0)),
		small: describer.Job{
			ID: "small", Policy: describer.BatchJob, Class: describer.Standard, PerTask: smallSize, ExpectedSeconds: 12,
		},
		gangs: make(map[describer.JobID]*gang),
	}
	w.placed = w.start
	w.evict = func(command placer.EvictTask) {
		w.after(time.Second, func() { w.handle(placer.TaskReleased{Task: command.Task}) })
	}
	return w
}

func (w *gangWorld) start(command placer.PlaceTask) {
	if g := w.gangs[command.Task.Job]; g != nil {
		g.placed++
		if g.placed == g.description.Tasks {
			g.startedAt = w.now
			w.after(g.runTime, func() {
				for index := range g.description.Tasks {
					w.handle(placer.TaskReleased{Task: describer.TaskID{Job: g.description.ID, Index: index}, Completed: true})
				}
			})
		}
		return
	}
	w.waiting--
	w.after(w.smallRunTime(), func() {
		w.handle(placer.TaskReleased{Task: command.Task, Completed: true})
		w.refill()
	})
}

// smallRunTime is 5 to 15 seconds; one task in a hundred is a straggler of five times that.
func (w *gangWorld) smallRunTime() time.Duration {
	seconds := 5 + 10*w.random.Float64()
	if w.random.IntN(100) == 0 {
		seconds *= 5
	}
	return time.Duration(seconds * float64(time.Second))
}

func (w *gangWorld) refill() {
	missing := smallBacklog - w.waiting
	if missing < smallBacklog/10 {
		return
	}
	list := make([]int, missing)
	for i := range list {
		list[i] = w.nextSmall
		w.nextSmall++
	}
	w.waiting += missing
	w.handle(placer.TasksSubmitted{Job: w.small, Indices: list})
}

// submitGang submits a gang job of 8 to 72 tasks, up to 15% of the zone, that runs 20 to 40 seconds.
func (w *gangWorld) submitGang() {
	g := &gang{submittedAt: w.now, runTime: time.Duration(20+w.random.IntN(20)) * time.Second}
	g.description = describer.Job{
		ID: describer.JobID(fmt.Sprintf("gang-%d", len(w.gangs))), Policy: describer.GangJob, Class: describer.Standard,
		Tasks: 8 + w.random.IntN(65), PerTask: gangSize, ExpectedSeconds: 30,
	}
	w.gangs[g.description.ID] = g
	w.handle(placer.TasksSubmitted{Job: g.description, Indices: indices(g.description.Tasks)})
}

func (w *gangWorld) sample(interval time.Duration) {
	sum := w.core.Summary()
	w.heldTime += float64(sum.HeldIdle.MilliCores) * interval.Seconds()
	w.busyTime += float64(sum.Allocated.MilliCores) * interval.Seconds()
	w.wholeTime += float64(sum.Capacity.MilliCores) * interval.Seconds()
}

// MeasureGangs measures the waits of gang jobs under a steady stream of small tasks, and the room held for them.
func MeasureGangs(seeds []uint64) Table {
	table := Table{
		Title: "Gang jobs under a steady stream of small work",
		Notes: []string{
			"240 backend servers of 8 cores, always full of small tasks of one core and 5 to 15 s (1% stragglers of five " +
				"times that, declared 12 s) with 200 more waiting; a gang job of 8 to 72 tasks of 4 cores every 45 s for " +
				"30 minutes. Targets: no gang job starved, idle cores held for a reservation below 3%.",
		},
		Columns: []string{"seed", "gang jobs", "started", "wait p50", "wait p99", "wait max", "cores held idle", "cores allocated", "targets"},
	}
	for _, seed := range seeds {
		w := newGangWorld(seed)
		w.refill()
		end := epochStart.Add(gangRun)
		w.every(gangInterval, func() bool {
			w.submitGang()
			return w.now.Add(gangInterval).Before(end)
		})
		w.every(100*time.Millisecond, func() bool { w.sample(100 * time.Millisecond); return true })
		w.runUntil(end.Add(2*time.Minute), func() bool { return false })
		started := 0
		var waits []time.Duration
		for _, g := range w.gangs {
			if !g.startedAt.IsZero() {
				started++
				waits = append(waits, g.startedAt.Sub(g.submittedAt))
			}
		}
		met := "met"
		if started < len(w.gangs) || w.heldTime >= 0.03*w.wholeTime {
			met = "missed"
		}
		table.add(seed, len(w.gangs), started, quantile(waits, 0.5), quantile(waits, 0.99), quantile(waits, 1),
			percent(w.heldTime, w.wholeTime), percent(w.busyTime, w.wholeTime), met)
	}
	return table
}
