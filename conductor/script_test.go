package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// script is a test case of testdata/scripts.hujson.
type script struct {
	Name    string
	Guards  string
	Servers int
	Jobs    []struct {
		At  float64
		Job jobOptions
	}
	Events []scriptEvent
	// Until is the length of the case in seconds.
	Until float64
	// Want are the states of the jobs at the end.
	Want []string
	// MinStarts and MaxStarts bound the number of runs that started.
	MinStarts int
	MaxStarts int
	// MaxResignations bounds the number of owners that resigned.
	MaxResignations *int
	// Limits are those of teams, in cores.
	Limits map[string]int64
	// MinUsed is the least number of cores that a team has to have running at once at some time.
	MinUsed map[string]int64
}

type scriptEvent struct {
	At     float64
	Kind   string
	Server string
	For    float64
	Job    int
	Limits map[string]int64
}

var stateNames = map[specifier.JobState]string{
	specifier.Queued: "Queued", specifier.Running: "Running", specifier.Completed: "Completed", specifier.Failed: "Failed",
	specifier.Cancelled: "Cancelled",
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

func (w *simulation) schedule(e scriptEvent) {
	w.at(w.start.Add(seconds(e.At)), func() {
		until := w.now.Add(seconds(e.For))
		s := w.servers[specifier.ServerID(e.Server)]
		switch e.Kind {
		case "Silent":
			s.silentUntil = until
		case "Unlist":
			s.silentUntil, s.unlistedUntil = until, until
		case "Crash":
			s.crash(w, seconds(e.For))
		case "LoseAnswers":
			s.loseResponsesUntil = until
		case "DelayStarts":
			s.delayStartsUntil = until
		case "Fails":
			s.failsUntil = until
		case "NoConnections":
			s.noConnectionsUntil = until
		case "Drain":
			s.server.Draining = true
		case "StoreDown":
			w.storeDownUntil = until
		case "LoseOwner":
			w.loseOwner()
		case "MuteAdvisor":
			w.muteAdvisors[e.Server] = until
		case "CrashOwner":
			w.crashOwner()
		case "Limit":
			w.configure(e.Limits)
		case "Cancel":
			w.cancelJob(w.submitted[e.Job].ID)
		default:
			w.t.Fatalf("event %q is unknown", e.Kind)
		}
	})
}

// TestScripts guards against the failure that the Guards field of each case names: violated rules or unfinished jobs
// under faults.
func TestScripts(t *testing.T) {
	runScripts(t, "scripts.hujson")
}

// TestQuotaScripts guards against the failure that the Guards field of each case names: teams above their limits, or work that waits
// although limits permit it.
func TestQuotaScripts(t *testing.T) {
	runScripts(t, "quotas.hujson")
}

func runScripts(t *testing.T, file string) {
	for _, s := range tester.ReadCases[script](t, file) {
		t.Run(s.Name, func(t *testing.T) {
			w := newSimulation(t, 1, s.Servers)
			if s.Limits != nil {
				w.configure(s.Limits)
			}
			for i, submission := range s.Jobs {
				job := newJob(i, submission.Job)
				w.at(w.start.Add(seconds(submission.At)), func() { w.submit(job) })
			}
			for _, event := range s.Events {
				w.schedule(event)
			}
			w.runUntil(seconds(s.Until))
			require.Empty(t, w.violations, s.Guards)
			for i, want := range s.Want {
				require.Equal(t, want, stateNames[w.state(w.submitted[i].ID)], "job %d: %s", i, s.Guards)
			}
			require.GreaterOrEqual(t, w.starts, s.MinStarts, s.Guards)
			if s.MaxResignations != nil {
				require.LessOrEqual(t, w.resignations, *s.MaxResignations, s.Guards)
			}
			for team, cores := range s.MinUsed {
				require.GreaterOrEqual(t, w.quota.most[team], 1000*cores, s.Guards)
			}
			if s.MaxStarts > 0 {
				require.LessOrEqual(t, w.starts, s.MaxStarts, s.Guards)
			}
		})
	}
}
