package conductor_test

import (
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

// quotaRule counts what the teams have running on the simulated servers, and checks it against their limits.
type quotaRule struct {
	configuration specifier.Configuration
	// changes are all configurations and the times from which on they were known to the owners.
	changes []limitChange
	running map[string]specifier.Resources
	// sentAt is when the newest start of a run was sent.
	sentAt map[specifier.TaskID]map[int]time.Time
	// most is the largest number of thousandths of cores that a team had running.
	most map[string]int64
}

type limitChange struct {
	at    time.Time
	teams specifier.Teams
}

// configure gives the teams limits in cores, from now on.
func (w *simulation) configure(cores map[string]int64) {
	if w.quota == nil {
		w.quota = &quotaRule{
			running: make(map[string]specifier.Resources), sentAt: make(map[specifier.TaskID]map[int]time.Time), most: make(map[string]int64),
		}
	}
	var teams []specifier.Team
	for name, limit := range cores {
		teams = append(teams, specifier.Team{Name: name, MaxRunning: specifier.Resources{MilliCores: 1000 * limit}})
	}
	q := w.quota
	q.configuration = specifier.Configuration{Revision: q.configuration.Revision + 1, Teams: specifier.NewTeams(teams...)}
	q.changes = append(q.changes, limitChange{w.now, q.configuration.Teams})
	for _, o := range w.owners {
		w.deliver(o.epoch, conductor.Configured{Configuration: q.configuration})
	}
}

func (q *quotaRule) limit(team string) int64 {
	known, _ := q.configuration.Teams.Named(team)
	return known.MaxRunning.MilliCores
}

// limitSince returns the highest limit of a team that was in force at some time since then.
func (q *quotaRule) limitSince(team string, since time.Time) int64 {
	var highest int64
	for i, change := range q.changes {
		if i+1 < len(q.changes) && !q.changes[i+1].at.After(since) {
			continue
		}
		known, _ := change.teams.Named(team)
		highest = max(highest, known.MaxRunning.MilliCores)
	}
	return highest
}

// sent checks that a start does not bring its team above the newest limit.
func (q *quotaRule) sent(w *simulation, o specifier.StartOrder) {
	if q == nil {
		return
	}
	job := w.jobOf(o.Task.Job)
	if q.sentAt[o.Task] == nil {
		q.sentAt[o.Task] = make(map[int]time.Time)
	}
	q.sentAt[o.Task][o.Run] = w.now
	sum := q.running[job.Team].Plus(job.Steps[o.Task.Step].Need).MilliCores
	if limit := q.limit(job.Team); limit > 0 && sum > limit {
		w.violate("QUOTA: the start of %s is sent that brings team %s to %d of %d", o.Task, job.Team, sum, limit)
	}
}

// begun checks that a run does not bring its team above each limit since its start was sent.
func (q *quotaRule) begun(w *simulation, r *fakeRun) {
	if q == nil {
		return
	}
	team := r.job.Team
	q.running[team] = q.running[team].Plus(r.job.Steps[r.task.Step].Need)
	sum := q.running[team].MilliCores
	q.most[team] = max(q.most[team], sum)
	if limit := q.limitSince(team, q.sentAt[r.task][r.run]); limit > 0 && sum > limit {
		w.violate("QUOTA: %s brings team %s to %d of %d", r.task, team, sum, limit)
	}
}

func (q *quotaRule) ended(r *fakeRun) {
	if q != nil {
		q.running[r.job.Team] = q.running[r.job.Team].Minus(r.job.Steps[r.task.Step].Need)
	}
}
