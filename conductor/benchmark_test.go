package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// load is the workload of a benchmark.
type load struct {
	servers  int
	jobs     int
	advisors int
	// interval is the time between two jobs.
	interval time.Duration
	// grantOneIn and grantsDiffer are those of the simulation.
	grantOneIn   int
	grantsDiffer bool
	job          func(w *simulation) jobOptions
	// teams is the number of teams of the jobs.
	teams int
}

func (l load) run(b *testing.B) {
	for range b.N {
		w := newSimulation(&testing.T{}, 1, l.servers)
		w.grantOneIn, w.grantsDiffer = l.grantOneIn, l.grantsDiffer
		for i := range l.advisors {
			w.advisors = append(w.advisors, fmt.Sprintf("advisor-%d", i))
		}
		w.elect()
		var teams []specifier.Team
		for i := range l.teams {
			teams = append(teams, specifier.Team{Name: fmt.Sprint(i), Weight: 1})
		}
		w.deliver(w.owner().epoch, conductor.Configured{Configuration: specifier.Configuration{Revision: 1, Teams: specifier.NewTeams(teams...)}})
		for i := range l.jobs {
			job := newJob(i, l.job(w))
			if l.teams > 0 {
				job.Team = fmt.Sprint(i % l.teams)
			}
			job.ID += "x"
			w.at(w.start.Add(time.Second+time.Duration(i)*l.interval), func() { w.submit(job) })
		}
		w.runUntil(time.Second + time.Duration(l.jobs)*l.interval)
		if len(w.violations) > 0 {
			b.Fatal(fmt.Sprint(w.violations[:1]))
		}
		b.ReportMetric(float64(w.starts), "starts/op")
	}
}

// BenchmarkHeavyLoad measures the Conductor over one minute in which the jobs need twice the capacity of 48 servers.
func BenchmarkHeavyLoad(b *testing.B) {
	load{servers: 48, jobs: 3000, interval: 20 * time.Millisecond, job: func(w *simulation) jobOptions {
		return jobOptions{
			Tasks: 1 + w.random.IntN(8), MilliCores: int64(2000 + w.random.IntN(16000)), Seconds: 0.5 + 3*w.random.Float64(),
			Gang: w.random.IntN(4) == 0, Advice: true, Priority: w.random.IntN(3), Attempts: 2,
		}
	}}.run(b)
}

// BenchmarkBacklog measures the Conductor over 20 s on a shard of 88 servers with nine advisors, with three kinds of
// jobs that together need one and a half times the capacity.
func BenchmarkBacklog(b *testing.B) {
	for _, teams := range []int{0, 20} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) { backlog(teams).run(b) })
	}
}

func backlog(teams int) load {
	return load{servers: 88, jobs: 700, interval: 28 * time.Millisecond, advisors: 9, teams: teams, job: func(w *simulation) jobOptions {
		switch kind := w.random.IntN(93); {
		case kind < 6:
			return jobOptions{Tasks: 1 + w.random.IntN(39), MilliCores: 18000, Seconds: 3 + 3*w.random.Float64(), Gang: true, Advice: true, Priority: 1, Attempts: 2}
		case kind < 20:
			return jobOptions{Tasks: 1 + w.random.IntN(49), MilliCores: 6900, Seconds: 1 + 3*w.random.Float64(), Advice: true, Priority: 2, Attempts: 2}
		default:
			return jobOptions{Tasks: 1 + w.random.IntN(5), MilliCores: 9900, Seconds: 0.5 + w.random.Float64(), Gang: w.random.IntN(3) == 0, Advice: true, Attempts: 2}
		}
	}}
}
