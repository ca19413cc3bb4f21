package scheduler

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/starter"
)

// Reasons implements reporter.ReasonSource for jobs and tasks.
func (s *Scheduler) Reasons(ctx context.Context, what string) ([]reporter.Reason, error) {
	now := time.Now()
	plan, _ := s.currentPlan()
	if job, ok := plan.job(describer.JobID(what)); ok {
		return jobReasons(now, job), nil
	}
	slash := strings.LastIndex(what, "/")
	if slash < 0 {
		return nil, nil
	}
	job, ok := plan.job(describer.JobID(what[:slash]))
	index, err := strconv.Atoi(what[slash+1:])
	if !ok || err != nil || index < 0 || index >= job.Job.Tasks {
		return nil, nil
	}
	return s.taskReasons(ctx, now, job, index)
}

func jobReasons(now time.Time, job PlannedJob) []reporter.Reason {
	about := "Job " + string(job.Job.ID)
	var reasons []reporter.Reason
	if job.NeverRuns != "" {
		reasons = append(reasons, reporter.Reason{About: about, At: now, Text: "it can never run: " + job.NeverRuns})
	}
	assigned := len(setOf(job.Finished))
	for _, tasks := range job.Zones {
		count := len(setOf(tasks.Spans))
		assigned += count
		reasons = append(reasons, reporter.Reason{
			About: about, At: now, Text: fmt.Sprintf("%d tasks are assigned to zone %s", count, tasks.Zone),
		})
	}
	if waiting := job.Job.Tasks - assigned; waiting > 0 && job.NeverRuns == "" {
		reasons = append(reasons, reporter.Reason{
			About: about, At: now,
			Text: fmt.Sprintf("%d tasks wait until the quota of team %s and a zone have room", waiting, job.Job.Team),
		})
	}
	for _, tasks := range job.Leaving {
		reasons = append(reasons, reporter.Reason{
			About: about, At: now,
			Text: fmt.Sprintf("%d tasks have not left zone %s yet", len(setOf(tasks.Spans)), tasks.Zone),
		})
	}
	return reasons
}

func (s *Scheduler) taskReasons(
	ctx context.Context, now time.Time, job PlannedJob, index int,
) ([]reporter.Reason, error) {
	task := describer.TaskID{Job: job.Job.ID, Index: index}
	about := "Task " + task.String()
	reason := func(text string, retryAt time.Time) []reporter.Reason {
		return []reporter.Reason{{About: about, At: now, Text: text, RetryAt: retryAt}}
	}
	switch zone := zoneOf(job, index); {
	case setOf(job.Finished)[index]:
		return reason("it does not run again", time.Time{}), nil
	case zone == "":
		return jobReasons(now, job), nil
	case zone != s.Zone:
		return reason(fmt.Sprintf("it is assigned to zone %s", zone), time.Time{}), nil
	}
	t := s.currentTerm()
	if t == nil {
		return reason("it is assigned to this zone; its placing member knows more", time.Time{}), nil
	}
	statuses, err := t.unfinishedTasks(ctx)
	if err != nil {
		return nil, err
	}
	for _, status := range statuses {
		if status.Task == task {
			return reason(describeStatus(status), status.RetryAt), nil
		}
	}
	return reason("it waits until it has left another zone", time.Time{}), nil
}

func describeStatus(status starter.TaskStatus) string {
	switch status.State {
	case starter.Pending:
		if status.Failures > 0 {
			return fmt.Sprintf("it waits after %d failed attempts", status.Failures)
		}
		return "it waits for room on a backend server of the zone"
	case starter.Committing:
		return "its start is being written to the store"
	case starter.Lost:
		return fmt.Sprintf("backend server %s is not heard of; the lease there ends at %s",
			status.Server, status.LeaseUntil.Format(time.RFC3339))
	}
	return fmt.Sprintf("attempt %d is %s on backend server %s", status.Attempt, status.State, status.Server)
}

// zoneOf returns the zone to which a task is assigned; it is empty when there is none.
func zoneOf(job PlannedJob, index int) describer.AvailabilityZoneID {
	for _, tasks := range job.Zones {
		for _, span := range tasks.Spans {
			if span.has(index) {
				return tasks.Zone
			}
		}
	}
	return ""
}
