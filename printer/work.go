package printer

import (
	"io"
	"slices"

	"egretring.example/egretring/reporter"
)

// Services writes the services with their load and the classes of their kinds.
func Services(w io.Writer, views []reporter.ServiceView) error {
	t := newTable(w, "SERVICE", "SLOTS", "CONNECTIONS", "QUEUE-LIMIT", "IN-PROGRESS", "QUEUED", "KINDS")
	for _, v := range views {
		s := v.Service
		t.row(s.ID, s.SlotsPerBackendServer, s.ConnectionsPerBackendServer, s.QueueLimit, v.Load.InProgress,
			classCounts(v.Load.Queued), kindsText(v))
	}
	return t.flush()
}

func kindsText(view reporter.ServiceView) string {
	var names []string
	for id, kind := range view.Service.Kinds {
		names = append(names, string(id)+"="+kind.Class.String())
	}
	slices.Sort(names)
	var text string
	for i, name := range names {
		if i > 0 {
			text += ","
		}
		text += name
	}
	return text
}

// Jobs writes the jobs.
func Jobs(w io.Writer, views []reporter.JobView) error {
	t := newTable(w, "JOB", "TEAM", "CLASS", "POLICY", "ZONE", "TASKS", "WAITING", "RUNNING", "ENDED", "PER-TASK", "NEVER-RUNS")
	for _, v := range views {
		t.row(v.Job.ID, v.Job.Team, v.Job.Class, v.Job.Policy, v.AvailabilityZone, v.Job.Tasks, v.Waiting, v.Running,
			v.Ended, v.Job.PerTask, v.NeverRuns)
	}
	return t.flush()
}

// Tasks writes the tasks.
func Tasks(w io.Writer, views []reporter.TaskView) error {
	t := newTable(w, "TASK", "ZONE", "WORKER", "STATE", "ATTEMPT", "EPOCH", "SINCE", "LEASE-ENDS")
	for _, v := range views {
		t.row(v.Task, v.AvailabilityZone, v.BackendServer, v.State, v.Attempt, v.Epoch, v.Since, v.LeaseEndsAt)
	}
	return t.flush()
}

// Teams writes the teams.
func Teams(w io.Writer, views []reporter.TeamView) error {
	t := newTable(w, "TEAM", "QUOTA", "USED", "BORROWED", "MAY-BORROW", "REQUESTS")
	for _, v := range views {
		t.row(v.Team, v.Quota.Limit, v.Used, v.Borrowed, v.Quota.MayBorrow, v.RequestsInProgress)
	}
	return t.flush()
}

// Reasons writes the reasons why something waits, was refused or was moved.
func Reasons(w io.Writer, reasons []reporter.Reason) error {
	t := newTable(w, "ABOUT", "AT", "REASON", "RETRY-AT")
	for _, v := range reasons {
		t.row(v.About, v.At, v.Text, v.RetryAt)
	}
	return t.flush()
}
