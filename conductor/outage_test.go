package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// TestOutageIsBlamedOnNoTask guards against a job that is given up, or whose tasks wait for quiet servers, because all servers of a zone
// were lost soon after its starts, several times.
func TestOutageIsBlamedOnNoTask(t *testing.T) {
	for _, c := range tester.ReadCases[struct {
		Name string
		Job  jobOptions
		// Outages is how often the servers of a zone crash 100 ms after a start on one of them, and Down for how many seconds.
		Outages int
		Down    float64
		// CutAfter is for how many seconds the servers work until they are cut off for CutFor, if they are.
		CutAfter, CutFor float64
	}](t, "outages.hujson") {
		t.Run(c.Name, func(t *testing.T) {
			const servers = 8
			w := newSimulation(t, 1, servers)
			var zone []*fakeServer
			for i := range servers {
				s := w.servers[specifier.ServerID(fmt.Sprintf("i-%02d", i))]
				s.server.Zone = fmt.Sprint("z", i%2)
				if i%2 == 0 {
					zone = append(zone, s)
				}
			}
			job := newJob(0, c.Job)
			w.at(w.start.Add(time.Second), func() { w.submit(job) })
			outages := 0
			w.every(100*time.Millisecond, func() {
				if outages == c.Outages || !w.hasStartIn(zone) {
					return
				}
				outages++
				for _, s := range zone {
					s.crash(w, seconds(c.Down))
					w.after(seconds(c.Down+c.CutAfter), func() { s.silentUntil = w.now.Add(seconds(c.CutFor)) })
				}
			})
			w.runUntil(70 * time.Second)
			require.Empty(t, w.violations)
			require.Equal(t, c.Outages, outages, "the case has to lose runs")
			require.Equal(t, stateNames[specifier.Completed], stateNames[w.state(job.ID)])
		})
	}
}

// hasStartIn reports whether all of the servers are reachable and a run has started on one of them in the last 100 to 200 ms.
func (w *simulation) hasStartIn(servers []*fakeServer) bool {
	found := false
	for _, s := range servers {
		if !s.reachable(w) {
			return false
		}
		for _, r := range s.runs {
			age := w.now.Sub(r.begunAt)
			found = found || age >= 100*time.Millisecond && age < 200*time.Millisecond
		}
	}
	return found
}

// TestCrashingTasksAreNoOutage guards against jobs that are given up although they crash nothing, and tasks that crash servers again and
// again: several such tasks at once passed for outages, which were blamed on none of them, and the crashes counted for all tasks
// beside them.
func TestCrashingTasksAreNoOutage(t *testing.T) {
	const servers, crashing = 8, 12
	for spacing := 37 * time.Millisecond; spacing < 400*time.Millisecond; spacing += 37 * time.Millisecond {
		t.Run(spacing.String(), func(t *testing.T) {
			w := newSimulation(t, 1, servers)
			lasting := newJob(0, jobOptions{Tasks: 2, MilliCores: 1000, Seconds: 1})
			lasting.Steps[0].LongRunning = true
			w.at(w.start.Add(time.Second), func() { w.submit(lasting) })
			for i := range crashing {
				job := newJob(1+i, jobOptions{Tasks: 2, MilliCores: 1000, Seconds: 1, Spec: "crashes", Attempts: 3})
				w.at(w.start.Add(3*time.Second+time.Duration(i)*spacing), func() { w.submit(job) })
			}
			w.runUntil(90 * time.Second)
			require.Empty(t, w.violations)
			require.Equal(t, stateNames[specifier.Running], stateNames[w.state(lasting.ID)])
			require.Len(t, w.crashes, crashing, "each of these tasks has to crash a server")
			for task, crashes := range w.crashes {
				require.LessOrEqual(t, crashes, maxCrashes, "%s", task)
			}
		})
	}
}

// TestSimultaneousLossesAreBlamedOnNoTask guards against a job that crashes nothing and is given up because some of the servers, with its
// runs among them, restart together again and again.
func TestSimultaneousLossesAreBlamedOnNoTask(t *testing.T) {
	const servers, lost = 16, 5
	for name, k := range map[string]struct {
		// losses is how often the servers restart, and age the age of the oldest run then.
		losses int
		age    time.Duration
	}{
		"soon after a start":      {losses: 2, age: 100 * time.Millisecond},
		"some time after a start": {losses: 7, age: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 1, servers)
			job := newJob(0, jobOptions{Tasks: 2, MilliCores: 1000, Seconds: 1})
			job.Steps[0].LongRunning = true
			w.at(w.start.Add(time.Second), func() { w.submit(job) })
			losses := 0
			w.every(100*time.Millisecond, func() {
				group := w.serversWithRunsOf(k.age)
				if losses == k.losses || len(group) == 0 {
					return
				}
				losses++
				for i := 0; len(group) < lost; i++ {
					if s := w.servers[specifier.ServerID(fmt.Sprintf("i-%02d", i))]; len(s.runs) == 0 {
						group = append(group, s)
					}
				}
				for _, s := range group {
					s.crash(w, 600*time.Millisecond)
				}
			})
			w.runUntil(70 * time.Second)
			require.Empty(t, w.violations)
			require.Equal(t, k.losses, losses, "the case has to lose runs")
			require.Equal(t, stateNames[specifier.Running], stateNames[w.state(job.ID)])
		})
	}
}

// serversWithRunsOf returns the servers with runs, if one of these has the given age.
func (w *simulation) serversWithRunsOf(age time.Duration) []*fakeServer {
	var found []*fakeServer
	isOldEnough := false
	for _, s := range w.servers {
		for _, r := range s.runs {
			isOldEnough = isOldEnough || w.now.Sub(r.begunAt) >= age
		}
		if len(s.runs) > 0 {
			found = append(found, s)
		}
	}
	if !isOldEnough {
		return nil
	}
	return found
}
