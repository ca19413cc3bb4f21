package conductor_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

const (
	dayServers    = 48
	dayAdvisors   = 7
	outageTraffic = 46 * time.Second
	// calmAfter is how long after the last fault a job may wait with nothing running, as the users' pages state: four seconds, and three
	// more that count.
	calmAfter = 7 * time.Second
	// longShare is the share of jobs that take longFactor times as long, and longest the longest time that a run takes.
	longShare  = 0.35
	longFactor = 12
	longest    = 50 * time.Second
	// widest is the largest number of tasks of a gang, so that each fits the servers that advice admits.
	widest = 16
)

// outageDayCase is a test case of testdata/outage_days.hujson.
type outageDayCase struct {
	Name  string
	Seeds uint64
	// Load is the rate of jobs relative to the incident's.
	Load float64
	// Outages are when the servers of a zone crash, in seconds. They are down for Down, and cut off CutAfter later for CutFor.
	Outages                []float64
	Down, CutAfter, CutFor float64
	// KillAfter is the time from an outage to the end of the owner; zero means that no owner ends.
	KillAfter float64
	// Turns makes the outages affect the zones in turn.
	Turns bool
	// NewIDs makes servers come back under new IDs.
	NewIDs bool
}

// outageDay is a day of a cell with 48 servers in three zones and rough estimates, on which servers of a zone are lost together.
type outageDay struct {
	grownCellDay
	lastFault time.Time
}

func newOutageDay(t *testing.T, seed uint64, c outageDayCase) outageDay {
	d := outageDay{grownCellDay: grownCellDay{
		cellDay: newDay(t, seed, 1, dayServers, dayAdvisors), lengths: make(map[specifier.StepID]time.Duration),
	}}
	d.traffic, d.swing, d.period, d.phase = outageTraffic, 0.55, 15*time.Second, d.random.Float64()
	d.grantPercent = map[int]uint32{0: 70, 1: 35, 2: 45}
	d.lengthOf, d.delaysCallsOverRestarts, d.renamesServers = d.lengthOfRun, true, c.NewIDs
	for i := range dayServers {
		d.servers[specifier.ServerID(fmt.Sprintf("i-%02d", i))].server.Zone = zoneName(i)
	}
	d.electOwner(d.owner())
	d.arrive(1.28*c.Load, d.wideJob)
	d.arrive(3.85*c.Load, d.batchJob)
	d.arrive(27*c.Load, d.shortJob)
	for i, at := range c.Outages {
		zone := zoneName(0)
		if c.Turns {
			zone = zoneName(i)
		}
		d.scheduleOutage(seconds(at), zone, c)
	}
	return d
}

func zoneName(index int) string {
	return fmt.Sprint("z", index%3)
}

func (d *outageDay) scheduleOutage(at time.Duration, zone string, c outageDayCase) {
	cutAt := at + seconds(c.Down+c.CutAfter)
	d.lastFault = d.start.Add(cutAt + seconds(c.CutFor))
	d.at(d.start.Add(at), func() { d.onZone(zone, func(s *fakeServer) { s.crash(d.simulation, seconds(c.Down)) }) })
	d.at(d.start.Add(cutAt), func() { d.onZone(zone, func(s *fakeServer) { s.silentUntil = d.now.Add(seconds(c.CutFor)) }) })
	if c.KillAfter > 0 {
		d.at(d.start.Add(at+seconds(c.KillAfter)), d.crashOwner)
	}
}

// onZone calls a function for the servers of a zone that are up, in the order of their IDs.
func (d *outageDay) onZone(zone string, do func(*fakeServer)) {
	for _, id := range slices.Sorted(maps.Keys(d.servers)) {
		if s := d.servers[id]; s.server.Zone == zone && s.downUntil.IsZero() {
			do(s)
		}
	}
}

// withLong makes a share of the jobs take longer than estimated.
func (d outageDay) withLong(job specifier.Job) specifier.Job {
	if d.random.Float64() < longShare {
		for i := range job.Steps {
			id := specifier.StepID{Job: job.ID, Step: i}
			d.lengths[id] = min(longFactor*d.lengths[id], longest)
		}
	}
	return job
}

func (d outageDay) wideJob() specifier.Job {
	job := d.add(jobOptions{
		Tasks: max(1, int(d.around(8, 0.8, widest))), MilliCores: int64(d.around(18000, 0.4, 30000)), MemoryMB: int64(d.around(26000, 0.5, 52000)),
		Seconds: 1, Steps: d.steps(1.2), Gang: true, Advice: true, Priority: 1, Attempts: 2,
		AdviceCost: specifier.AdviceCost{Fixed: 450 * time.Millisecond, PerServer: 6400 * time.Microsecond},
	}, false)
	job.Queue.Stretch, job.Queue.TargetLatency = 2.2, time.Second
	return d.withLong(d.withLengths(job, 4.2, 45, 0.9))
}

func (d outageDay) batchJob() specifier.Job {
	job := d.add(jobOptions{
		Tasks: max(1, int(d.around(10, 0.8, 60))), MilliCores: int64(d.around(3900, 0.45, 12000)), MemoryMB: int64(d.around(7200, 0.6, 22000)),
		Seconds: 1, Steps: d.steps(1.5), Advice: true, Priority: 2, Attempts: 3,
		AdviceCost: specifier.AdviceCost{Fixed: 72 * time.Millisecond, PerServer: time.Millisecond},
	}, false)
	job.Queue.Stretch, job.Queue.TargetLatency = 4, 3*time.Second
	return d.withLong(d.withLengths(job, 2.9, 31, 0.9))
}

func (d outageDay) shortJob() specifier.Job {
	job := d.add(jobOptions{
		Tasks: max(1, int(d.around(2, 0.8, 12))), MilliCores: int64(d.around(5600, 0.45, 17000)), MemoryMB: int64(d.around(5700, 0.6, 17000)),
		Seconds: 1, Gang: d.random.IntN(10) < 3, Advice: true, Attempts: 4,
		AdviceCost: specifier.AdviceCost{Fixed: 10 * time.Millisecond, PerServer: 150 * time.Microsecond},
	}, false)
	job.Queue.Stretch, job.Queue.TargetLatency = 1.5, 250*time.Millisecond
	return d.withLong(d.withLengths(job, 0.85, 9, 0.9))
}

// fitsTwice reports whether there is capacity for the step twice over on the servers that advice admits.
func (d outageDay) fitsTwice(job specifier.Job, id specifier.StepID) bool {
	step := job.Steps[id.Step]
	needed := 2
	if step.Gang {
		needed = 2 * step.Count
	}
	places := 0
	for serverID, s := range d.servers {
		if !s.reachable(d.simulation) || d.refuses(id, serverID) {
			continue
		}
		free := s.server.Capacity
		for _, r := range s.runs {
			free = free.Minus(r.need)
		}
		places += step.Need.Count(free, needed)
	}
	return places >= needed
}

// play plays the day until all jobs should have ended, and returns the jobs that waited for starvedAfter in calm while less than half
// of the cell was in use and they would have fitted twice.
func (d outageDay) play(until time.Duration) map[specifier.JobID]string {
	const sample = 250 * time.Millisecond
	starved, waitingSince := make(map[specifier.JobID]string), make(map[specifier.JobID]time.Time)
	for at := d.lastFault.Add(calmAfter - starvedAfter).Sub(d.start); at <= until; at += sample {
		d.runUntil(at)
		use := d.coresInUse()
		for _, job := range d.submitted {
			id, waits := d.waitingStep(job)
			if !waits || use >= 0.5 || !d.fitsTwice(job, id) {
				delete(waitingSince, job.ID)
				continue
			}
			if waitingSince[job.ID].IsZero() {
				waitingSince[job.ID] = d.now
			}
			if d.now.Sub(waitingSince[job.ID]) >= starvedAfter {
				starved[job.ID] = fmt.Sprintf("%s at %s with %.2f of the cores in use", id, d.now.Sub(d.start), use)
			}
		}
	}
	return starved
}

// TestOutagesLoseNoJob guards against jobs that wait, are given up or never end after outages of a zone whose servers are cut off soon
// after their restart, while tasks take long and owners are killed. The seed of each day is its number.
func TestOutagesLoseNoJob(t *testing.T) {
	for _, c := range tester.ReadCases[outageDayCase](t, "outage_days.hujson") {
		for seed := range c.Seeds {
			t.Run(fmt.Sprintf("%s, seed %d", c.Name, seed), func(t *testing.T) {
				t.Parallel()
				d := newOutageDay(t, seed, c)
				require.Empty(t, d.play(300*time.Second))
				for _, job := range d.submitted {
					require.Equal(t, stateNames[specifier.Completed], stateNames[d.state(job.ID)], "job %s", job.ID)
				}
			})
		}
	}
}
