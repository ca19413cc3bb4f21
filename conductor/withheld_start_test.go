package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// TestStartIsNotSentToSilentServer guards against a start that is sent to a server that has stopped responding since the placement:
// its next incarnation would carry it out.
func TestStartIsNotSentToSilentServer(t *testing.T) {
	o := &ownerOfOneServer{t: t, now: time.Unix(1_700_000_000, 0)}
	o.Conductor = conductor.New(o.now, 1)
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{{
		ID: "s1", Service: "s", Address: "10.0.0.1:1", Incarnation: 1, Capacity: specifier.Resources{MilliCores: 1000, MemoryMB: 1000},
	}}})
	o.answer(o.renewal(), specifier.OrderDone)
	poll := o.renewal()
	o.Handle(o.now, conductor.JobArrived{Job: newJob(0, jobOptions{Tasks: 1, MilliCores: 1000, Seconds: 1})})
	o.now = o.now.Add(100 * time.Millisecond)
	commits := commandsOf[conductor.Commit](o.Plan(o.now))
	require.Len(t, commits, 1)
	o.answer(poll, specifier.OrderUnknown)
	o.Handle(o.now, conductor.CommitEnded{Lane: commits[0].Lane})
	require.Empty(t, o.starts(200*time.Millisecond, specifier.OrderUnknown))
	require.Len(t, o.starts(time.Second, specifier.OrderDone), 1, "the run is placed again")
}

// starts returns the starts that are sent in a time in which all renewals have a result and all commits succeed.
func (o *ownerOfOneServer) starts(d time.Duration, result specifier.OrderResult) []conductor.Start {
	var starts []conductor.Start
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(20 * time.Millisecond) {
		commands := o.Plan(o.now)
		for _, commit := range commandsOf[conductor.Commit](commands) {
			o.Handle(o.now, conductor.CommitEnded{Lane: commit.Lane})
		}
		for _, renewal := range commandsOf[conductor.Renew](commands) {
			o.answer(renewal, result)
		}
		starts = append(starts, commandsOf[conductor.Start](commands)...)
	}
	return starts
}
