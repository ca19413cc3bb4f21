package conductor_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
	"egretring.example/egretring/tester"
)

// acknowledgementCase is a test case of testdata/acknowledgements.hujson.
type acknowledgementCase struct {
	Name   string
	Guards string
	// Down is for how many seconds the server is down. Spread is within how many seconds of its restart it carries out the calls that
	// were sent meanwhile, and Seconds how long the tasks take.
	Down, Spread, Seconds float64
}

// TestAcknowledgementIsNotCarriedOutForAnotherIncarnation guards against a task that runs again after its end as done, because the
// new incarnation of its server has carried out an acknowledgement that was meant for the former one.
func TestAcknowledgementIsNotCarriedOutForAnotherIncarnation(t *testing.T) {
	for _, c := range tester.ReadCases[acknowledgementCase](t, "acknowledgements.hujson") {
		t.Run(c.Name, func(t *testing.T) {
			for offset := range 60 {
				w := newSimulation(t, uint64(offset), 1)
				w.delaysCallsOverRestarts, w.carryOverSpread = true, seconds(c.Spread)
				for i := range 40 {
					job := newJob(i, jobOptions{Tasks: 10, MilliCores: 4000, Seconds: c.Seconds})
					w.at(w.start.Add(seconds(1+0.05*float64(i))), func() { w.submit(job) })
				}
				w.at(w.start.Add(seconds(2)+time.Duration(offset)*time.Millisecond), func() { w.servers["i-00"].crash(w, seconds(c.Down)) })
				w.runUntil(seconds(30))
				require.Empty(t, w.violations, "%s, restart %d ms later", c.Guards, offset)
				for _, job := range w.submitted {
					require.Equal(t, specifier.Completed, w.state(job.ID), "job %s, restart %d ms later", job.ID, offset)
				}
			}
		})
	}
}

// TestAcknowledgementIsSentUntilItIsConfirmed guards against an acknowledgement that is repeated although no end needs it, and
// against one that is given up when its renewal gets no response.
func TestAcknowledgementIsSentUntilItIsConfirmed(t *testing.T) {
	o := &ownerOfOneServer{t: t, now: time.Unix(1_700_000_000, 0)}
	o.Conductor = conductor.New(o.now, 1)
	o.Handle(o.now, conductor.ServersListed{Servers: []specifier.Server{{ID: "s1", Address: "10.0.0.1:1", Incarnation: 1}}})
	o.answer(o.renewal(), specifier.OrderDone)
	end := specifier.EndedTask{Number: 1, Task: specifier.StepID{Job: "none"}.Task(0), Run: 1, Reason: specifier.RunDone}
	o.answer(o.renewal(), specifier.OrderDone, end)

	lost := o.renewal()
	require.Equal(t, int64(1), lost.Acknowledged)
	o.answer(lost, specifier.OrderUnknown)
	probe := o.renewal()
	require.Zero(t, probe.Acknowledged, "the server may have restarted")
	o.answer(probe, specifier.OrderDone, end)
	repeated := o.renewal()
	require.Equal(t, int64(1), repeated.Acknowledged, "the server lists the end again")
	o.answer(repeated, specifier.OrderDone)
	require.Zero(t, o.renewal().Acknowledged, "the acknowledgement is confirmed")
}

// ownerOfOneServer is an owner whose renewals a test answers.
type ownerOfOneServer struct {
	*conductor.Conductor
	t   *testing.T
	now time.Time
}

// renewal returns the next renewal.
func (o *ownerOfOneServer) renewal() conductor.Renew {
	o.t.Helper()
	for range 100 {
		o.now = o.now.Add(20 * time.Millisecond)
		if renewals := commandsOf[conductor.Renew](o.Plan(o.now)); len(renewals) > 0 {
			return renewals[0]
		}
	}
	require.Fail(o.t, "no renewal was sent")
	return conductor.Renew{}
}

func (o *ownerOfOneServer) answer(c conductor.Renew, result specifier.OrderResult, ended ...specifier.EndedTask) {
	o.Handle(o.now, conductor.RenewEnded{
		Server: c.Server.ID, Incarnation: c.Server.Incarnation, Sequence: c.Sequence, Fence: c.Fence, Acknowledged: c.Acknowledged,
		SentAt: o.now, Result: result,
		Report: specifier.ServerReport{Incarnation: 1, Clock: time.Duration(o.now.UnixNano()), Ended: ended},
	})
}
