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
	// smallBacklog is the number of small tasks that are kept waiting.
	smallBacklog = 200
)

// gangServer is the capacity of a backend server. smallSize and gangSize are the sizes of a task of either kind.
var (
	gangServer = describer.Resources{MilliCores: 8_000, MemoryBytes: 32 * gigabyte}
	smallSize  = describer.Resources{MilliCores: 1_000, MemoryBytes: 2 * gigabyte}
	gangSize   = describer.Resources{MilliCores: 4_000, MemoryBytes: 8 * gigabyte}
)

// gangSimulation runs gang jobs in a zone that a steady stream of small tasks keeps full.
type gangSimulation struct {
	*placerSimulation
	random    *rand.Rand
	small     describer.Job
	gangs     map[describer.JobID]*gang
	nextSmall int
	waiting   int
	// reservedIdleTime, capacityTime and allocatedTime are the millicores that are held idle for a reservation, that
	// exist and that are allocated, times seconds.
	reservedIdleTime float64
	capacityTime     float64
	allocatedTime    float64
}

// gang is a submitted gang job.
type gang struct {
	description describer.Job
	submittedAt time.Time
	startedAt   time.Time
	placed      int
	runTime     time.Duration
}

// sortUsage sorts the tasks of a usage report, so that runs can be repeated.
func sortUsage(tasks []placer.TaskUsage) {
	slices.SortFunc(tasks, func(a, b placer.TaskUsage) int {
		if a.Task.Job != b.Task.Job {
			return strings.Compare(string(a.Task.Job), string(b.Task.Job))
		}
		return a.Task.Index - b.Task.Index
	})
}

func newGangSimulation(seed uint64) *gangSimulation {
	s := &gangSimulation{
		placerSimulation: newPlacerSimulation(zoneServers(gangServers, gangServer)), random: rand.New(rand.NewPCG(seed, 0)),
		small: describer.Job{
			ID: "small", Policy: describer.BatchJob, Class: describer.Standard, PerTask: smallSize, ExpectedSeconds: 12,
		},
		gangs: make(map[describer.JobID]*gang),
	}
	s.onPlace = s.start
	s.onEvict = func(command placer.EvictTask) {
		s.after(time.Second, func() { s.handle(placer.TaskReleased{Task: command.Task}) })
	}
	return s
}

// start schedules the end of a small task that was placed, or of a gang job once all its tasks are placed.
func (s *gangSimulation) start(command placer.PlaceTask) {
	if g := s.gangs[command.Task.Job]; g != nil {
		g.placed++
		if g.placed == g.description.Tasks {
			g.startedAt = s.now
			s.after(g.runTime, func() {
				for index := range g.description.Tasks {
					s.handle(placer.TaskReleased{Task: describer.TaskID{Job: g.description.ID, Index: index}, Completed: true})
				}
			})
		}
		return
	}
	s.waiting--
	s.after(s.smallRunTime(), func() {
		s.handle(placer.TaskReleased{Task: command.Task, Completed: true})
		s.refill()
	})
}

// smallRunTime returns 5 to 15 seconds, and five times that for one task in a hundred, a straggler.
func (s *gangSimulation) smallRunTime() time.Duration {
	seconds := 5 + 10*s.random.Float64()
	if s.random.IntN(100) == 0 {
		seconds *= 5
	}
	return time.Duration(seconds * float64(time.Second))
}

// refill submits small tasks up to the backlog when at least a tenth of it is missing.
func (s *gangSimulation) refill() {
	missing := smallBacklog - s.waiting
	if missing < smallBacklog/10 {
		return
	}
	list := make([]int, missing)
	for i := range list {
		list[i] = s.nextSmall
		s.nextSmall++
	}
	s.waiting += missing
	s.handle(placer.TasksSubmitted{Job: s.small, Indices: list})
}

// submitGang submits a gang job of 8 to 72 tasks, up to 15% of the zone, that runs 20 to 40 seconds.
func (s *gangSimulation) submitGang() {
	g := &gang{submittedAt: s.now, runTime: time.Duration(20+s.random.IntN(20)) * time.Second}
	g.description = describer.Job{
		ID: describer.JobID(fmt.Sprintf("gang-%d", len(s.gangs))), Policy: describer.GangJob, Class: describer.Standard,
		Tasks: 8 + s.random.IntN(65), PerTask: gangSize, ExpectedSeconds: 30,
	}
	s.gangs[g.description.ID] = g
	s.handle(placer.TasksSubmitted{Job: g.description, Indices: indices(g.description.Tasks)})
}

// sample adds the current capacity, allocation and idle reservations of the placer, times an interval, to the sums.
func (s *gangSimulation) sample(interval time.Duration) {
	sum := s.placer.Summary()
	s.reservedIdleTime += float64(sum.ReservedIdle.MilliCores) * interval.Seconds()
	s.allocatedTime += float64(sum.Allocated.MilliCores) * interval.Seconds()
	s.capacityTime += float64(sum.Capacity.MilliCores) * interval.Seconds()
}

// MeasureGangs measures the waits of gang jobs under a steady stream of small tasks, and the free capacity held for
// them.
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
		s := newGangSimulation(seed)
		s.refill()
		end := epochStart.Add(gangRun)
		s.every(gangInterval, func() bool {
			s.submitGang()
			return s.now.Add(gangInterval).Before(end)
		})
		s.every(100*time.Millisecond, func() bool { s.sample(100 * time.Millisecond); return true })
		s.runUntil(end.Add(2*time.Minute), func() bool { return false })
		started := 0
		var waits []time.Duration
		for _, g := range s.gangs {
			if !g.startedAt.IsZero() {
				started++
				waits = append(waits, g.startedAt.Sub(g.submittedAt))
			}
		}
		met := "met"
		if started < len(s.gangs) || s.reservedIdleTime >= 0.03*s.capacityTime {
			met = "missed"
		}
		table.add(seed, len(s.gangs), started, quantile(waits, 0.5), quantile(waits, 0.99), quantile(waits, 1),
			percent(s.reservedIdleTime, s.capacityTime), percent(s.allocatedTime, s.capacityTime), met)
	}
	return table
}
