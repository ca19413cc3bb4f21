package scheduler

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/starter"
)

// waitingQueries bounds the queries that wait for a placing term.
const waitingQueries = 16

// query requests the unfinished tasks of a placing term. The channel has a buffer for the one result, so that the term
// never blocks.
type query struct {
	result chan []starter.TaskStatus
}

var (
	_ reporter.JobSource    = (*Scheduler)(nil)
	_ reporter.TaskSource   = (*Scheduler)(nil)
	_ reporter.TeamSource   = (*Scheduler)(nil)
	_ reporter.ReasonSource = (*Scheduler)(nil)
)

// Tasks implements reporter.TaskSource for the unfinished tasks of this instance's zone. The placing member has them;
// other members read the usage reports of the backend servers.
func (s *Scheduler) Tasks(ctx context.Context, selected reporter.TaskQuery) ([]reporter.TaskView, error) {
	views, err := s.zoneTasks(ctx)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(views, func(v reporter.TaskView) bool {
		return selected.Job != "" && v.Task.Job != selected.Job ||
			selected.AvailabilityZone != "" && v.AvailabilityZone != selected.AvailabilityZone ||
			selected.BackendServer != "" && v.BackendServer != selected.BackendServer ||
			selected.State != "" && v.State != selected.State
	}), nil
}

func (s *Scheduler) zoneTasks(ctx context.Context) ([]reporter.TaskView, error) {
	t := s.currentTerm()
	if t == nil {
		return s.reportedTasks(ctx), nil
	}
	statuses, err := t.unfinishedTasks(ctx)
	if err != nil {
		return nil, err
	}
	views := make([]reporter.TaskView, len(statuses))
	for i, status := range statuses {
		views[i] = reporter.TaskView{
			Task: status.Task, AvailabilityZone: s.Zone, BackendServer: status.Server, State: string(status.State),
			Attempt: status.Attempt, Epoch: t.epoch, Since: status.StartedAt, LeaseEndsAt: status.LeaseUntil,
		}
	}
	return views, nil
}

// unfinishedTasks returns the unfinished tasks of the term, or none when the term has ended.
func (t *placingTerm) unfinishedTasks(ctx context.Context) ([]starter.TaskStatus, error) {
	q := query{result: make(chan []starter.TaskStatus, 1)}
	if err := t.queries.Put(ctx, q); err != nil {
		return nil, errors.Wrap(err, "query the zone's tasks")
	}
	select {
	case statuses := <-q.result:
		return statuses, nil
	case <-t.tomb.Dead():
		return nil, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "query the zone's tasks")
	}
}

// reportedTasks reads the running tasks from the usage reports of the zone's backend servers. Those that do not respond
// in time are left out.
func (s *Scheduler) reportedTasks(ctx context.Context) []reporter.TaskView {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	servers, _ := s.zoneServers()
	var mu sync.Mutex
	var views []reporter.TaskView
	var readers sync.WaitGroup
	slots := make(chan struct{}, maxUsageReads)
	for _, server := range servers {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			report, err := s.Connect(server).Usage(ctx)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, task := range report.Tasks {
				if !task.State.IsActive() {
					continue
				}
				views = append(views, reporter.TaskView{
					Task: task.Task, AvailabilityZone: s.Zone, BackendServer: server.ID,
					State: string(starter.Running), Attempt: task.Attempt, Epoch: task.Epoch,
				})
			}
		})
	}
	readers.Wait()
	slices.SortFunc(views, func(a, b reporter.TaskView) int {
		return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return views
}

// Jobs implements reporter.JobSource. Running counts the tasks of this instance's zone; tasks that the plan assigns to
// other zones count neither as running nor as waiting.
func (s *Scheduler) Jobs(ctx context.Context) ([]reporter.JobView, error) {
	tasks, err := s.zoneTasks(ctx)
	if err != nil {
		return nil, err
	}
	running := make(map[describer.JobID]int)
	for _, task := range tasks {
		if task.State == string(starter.Running) {
			running[task.Task.Job]++
		}
	}
	var views []reporter.JobView
	for _, job := range s.plannedJobs() {
		views = append(views, s.jobView(job, running[job.Job.ID]))
	}
	return views, nil
}

func (s *Scheduler) jobView(job PlannedJob, running int) reporter.JobView {
	view := reporter.JobView{
		Job: job.Job, Running: running, Ended: len(setOf(job.Finished)), NeverRuns: job.NeverRuns,
	}
	elsewhere := 0
	for _, tasks := range job.Zones {
		if tasks.Zone == s.Zone || view.AvailabilityZone == "" {
			view.AvailabilityZone = tasks.Zone
		}
		if tasks.Zone != s.Zone {
			elsewhere += len(setOf(tasks.Spans))
		}
	}
	view.Waiting = max(0, job.Job.Tasks-view.Ended-running-elsewhere)
	return view
}

// plannedJobs returns the jobs of the plan, ordered by ID.
func (s *Scheduler) plannedJobs() []PlannedJob {
	plan, _ := s.currentPlan()
	var jobs []PlannedJob
	for _, shardView := range plan {
		if shardView == nil {
			continue
		}
		for _, job := range shardView.jobs {
			if !job.Withdrawn {
				jobs = append(jobs, job)
			}
		}
	}
	slices.SortFunc(jobs, func(a, b PlannedJob) int { return cmp.Compare(a.Job.ID, b.Job.ID) })
	return jobs
}

// Teams implements reporter.TeamSource with the resources of the tasks that the plan assigns to zones for each team.
func (s *Scheduler) Teams(context.Context) ([]reporter.TeamView, error) {
	state, err := s.Configuration.State()
	if err != nil {
		return nil, err
	}
	teams := make(map[describer.TeamID]*reporter.TeamView)
	for _, quota := range state.Quotas() {
		teams[quota.Team] = &reporter.TeamView{Team: quota.Team, Quota: quota}
	}
	for _, job := range s.plannedJobs() {
		team := teams[job.Job.Team]
		if team == nil {
			team = &reporter.TeamView{Team: job.Job.Team}
			teams[job.Job.Team] = team
		}
		for _, tasks := range job.Zones {
			for range setOf(tasks.Spans) {
				team.Used = team.Used.Plus(job.Job.PerTask)
			}
		}
	}
	var views []reporter.TeamView
	for _, team := range teams {
		if team.Quota.Team != "" {
			team.Borrowed = excess(team.Used, team.Quota.Limit)
		}
		views = append(views, *team)
	}
	slices.SortFunc(views, func(a, b reporter.TeamView) int { return cmp.Compare(a.Team, b.Team) })
	return views, nil
}

func excess(used, limit describer.Resources) describer.Resources {
	over := used.Minus(limit)
	return describer.Resources{
		MilliCores: max(0, over.MilliCores), MemoryBytes: max(0, over.MemoryBytes),
		Accelerators: max(0, over.Accelerators),
	}
}
