package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/keeper"
)

var self = assigner.Owner{Instance: "entry-0", Incarnation: 1}

// fixedMembership is a membership that holds position 0 under epoch 3 with a fixed right.
type fixedMembership struct {
	right assigner.Right
}

func (m fixedMembership) Assignment() assigner.Assignment {
	return assigner.Assignment{Epoch: 3, Positions: []assigner.Owner{self}}
}
func (m fixedMembership) Owner() assigner.Owner { return self }
func (m fixedMembership) Right() assigner.Right { return m.right }

// TestRightIsCheckedBeforeEachCall guards against calls that are queued while the right is valid and sent after it has
// ended, against starts under a hold agreement, and against any call under an earlier epoch.
func TestRightIsCheckedBeforeEachCall(t *testing.T) {
	for _, test := range []struct {
		name          string
		lease         time.Duration
		held          bool
		epoch         describer.Epoch
		starts, stops bool
	}{
		{"lease holds", 5 * time.Second, false, 3, true, true},
		{"lease ends while the call waits", 500 * time.Millisecond, false, 3, false, false},
		{"hold agreement", 500 * time.Millisecond, true, 3, false, true},
		{"earlier epoch", 5 * time.Second, true, 2, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				right := assigner.Right{Deadline: time.Now().Add(test.lease), Held: test.held}
				s := New(Options{
					Zone: "hala-a", Membership: fixedMembership{right},
					Connect: func(describer.BackendServer) forwarder.TaskServer { return nil },
				})
				s.SetServers([]describer.BackendServer{{ID: "server", AvailabilityZone: "hala-a"}})
				placing := newPlacingTerm(s, test.epoch)
				go func() { _ = placing.pool.work(ctx) }()
				busy := call{server: "server", deadline: time.Now().Add(time.Hour), run: func(context.Context) {
					time.Sleep(time.Second)
				}}
				require.True(t, placing.pool.submit(busy))
				started, stopped := false, false
				placing.call("server", true, func(context.Context, forwarder.TaskServer) { started = true })
				placing.call("server", false, func(context.Context, forwarder.TaskServer) { stopped = true })
				time.Sleep(5 * time.Second)
				cancel()
				synctest.Wait()
				require.Equal(t, test.starts, started, "start")
				require.Equal(t, test.stops, stopped, "stop")
			})
		})
	}
}

// TestHandoverWaitsForActivePredecessor guards against a placing member that begins while its predecessor may still
// renew leases, and against one that waits for a member that has stopped.
func TestHandoverWaitsForActivePredecessor(t *testing.T) {
	other := assigner.Owner{Instance: "entry-1", Incarnation: 1}
	for _, test := range []struct {
		name    string
		holding assigner.Holding
		pending bool
	}{
		{"earlier holder may be active", assigner.Holding{Position: 0, Owner: other}, true},
		{"earlier holder has stopped", assigner.Holding{Position: 0, Owner: other, Stopped: true}, false},
		{"own earlier holding", assigner.Holding{Position: 0, Owner: self}, false},
		{"another position", assigner.Holding{Position: 1, Owner: other}, false},
	} {
		assignment := assigner.Assignment{Previous: []assigner.Holding{test.holding}}
		require.Equal(t, test.pending, handoverPending(assignment, self), test.name)
	}
}

// TestLeavingTasksAreNotStartable guards against a zone that starts tasks which are still leaving another zone, or only
// some tasks of a gang job.
func TestLeavingTasksAreNotStartable(t *testing.T) {
	planned := PlannedJob{
		Job:      describer.Job{Policy: describer.BatchJob, Tasks: 8},
		Zones:    []ZoneTasks{{Zone: "hala-a", Spans: []Span{{First: 0, Count: 6}}}},
		Leaving:  []ZoneTasks{{Zone: "hala-b", Spans: []Span{{First: 2, Count: 2}}}},
		Finished: []Span{{First: 5, Count: 1}},
	}
	require.Equal(t, []int{0, 1, 4}, planned.startable("hala-a").ordered())
	require.Empty(t, planned.startable("hala-b"))
	planned.Job.Policy = describer.GangJob
	require.Empty(t, planned.startable("hala-a"))
	planned.Leaving = nil
	require.Equal(t, []int{0, 1, 2, 3, 4}, planned.startable("hala-a").ordered())
}

// TestStaleReportConfirmsNoLeavingTasks guards against tasks that are taken to have left a zone because of a report
// about an earlier plan, although they were withdrawn from the zone only after that plan.
func TestStaleReportConfirmsNoLeavingTasks(t *testing.T) {
	table := newPlanTable()
	job := describer.Job{ID: "night", Tasks: 4}
	table.submit(job, 1)
	table.jobs["night"].zones["hala-a"] = setOf([]Span{{Count: 4}})
	table.withdraw("night")
	left := JobProgress{Job: "night", Generation: 1, Revision: 10, Left: []Span{{Count: 4}}}
	table.confirmLeft("hala-a", left)
	require.Len(t, table.jobs["night"].leaving["hala-a"], 4, "the plan that names them is not written")
	pending, ok := table.nextWrite(time.Now(), 7)
	require.True(t, ok)
	table.completeWrite(pending, storeEntry(20))
	table.confirmLeft("hala-a", left)
	require.Len(t, table.jobs["night"].leaving["hala-a"], 4, "the report is about an earlier plan")
	left.Revision = 20
	table.confirmLeft("hala-a", left)
	require.NotContains(t, table.jobs, describer.JobID("night"))
}

func storeEntry(revision int64) keeper.Entry {
	return keeper.Entry{Version: 1, Revision: revision}
}
