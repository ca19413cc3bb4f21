package conductor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// restartCase is a test case of testdata/restarts.hujson.
type restartCase struct {
	Name   string
	Guards string
	// Owner is the event that ends the owner, if any, and OwnerAt its time.
	Owner   string
	OwnerAt float64
	// Down is for how many seconds the server is down, and CutAt is when it is cut off after its restart.
	Down  float64
	CutAt float64
}

// TestRunOnRestartedServerHasOneRun guards against a second run of a task whose server has restarted under its ID, has carried
// out renewals of its former incarnation's lease, and is cut off.
func TestRunOnRestartedServerHasOneRun(t *testing.T) {
	for _, c := range tester.ReadCases[restartCase](t, "restarts.hujson") {
		for offset := range 12 {
			t.Run(fmt.Sprintf("%s, restart %d ms later", c.Name, offset), func(t *testing.T) {
				w := newSimulation(t, 1, 2)
				w.delaysCallsOverRestarts = true
				short := newJob(0, jobOptions{Tasks: 400, MilliCores: 8000, Seconds: 0.02})
				long := newJob(1, jobOptions{Tasks: 1, MilliCores: 60000, Seconds: 20})
				w.servers["i-01"].silentUntil = w.start.Add(seconds(15))
				w.at(w.start.Add(seconds(11)), func() { w.submit(short) })
				w.at(w.start.Add(seconds(11.5)+time.Duration(offset)*time.Millisecond), func() { w.servers["i-00"].crash(w, seconds(c.Down)) })
				w.at(w.start.Add(seconds(12.2+c.Down)), func() { w.submit(long) })
				if c.Owner != "" {
					w.schedule(scriptEvent{At: c.OwnerAt, Kind: c.Owner})
				}
				w.schedule(scriptEvent{At: c.CutAt, Kind: "Silent", Server: "i-00", For: 15})
				w.runUntil(seconds(60))
				if len(w.violations) > 0 {
					t.Log(strings.Join(w.decisions, "\n"))
				}
				require.Empty(t, w.violations, c.Guards)
				require.Equal(t, specifier.Completed, w.state(long.ID))
				require.Len(t, w.runsOf[specifier.TaskID{StepID: specifier.StepID{Job: long.ID}}], 2, "the case has to lose a run")
			})
		}
	}
}
