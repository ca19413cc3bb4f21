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
