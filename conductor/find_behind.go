package conductor

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/accountant"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/matcher"
	"egretring.example/egretring/migrator"
)

// behindRun is a run that is far behind and may move, with what is known of the other runs on its server.
type behindRun struct {
	session *session
	*allocation
	beside, besideBehind int
}

// findBehind returns the runs on a server that are far behind and may move. It notes whether most runs there are far behind.
func (c *Conductor) findBehind(p *pass, s *session) []behindRun {
	var found []behindRun
	runs, behind := 0, 0
	for _, a := range s.allocations {
		j := c.jobs[a.task.Job]
		if j == nil || a.state != confirmed || a.startedAt.IsZero() || j.inGang(a.task) {
			continue
		}
		runs++
		step, ok := j.Step(a.task.StepID)
		if !ok || !c.migrations.migrator.IsBehind(a.task.StepID, step.Spec.Count, p.now.Sub(a.startedAt)) {
			continue
		}
		behind++
		if c.mayMove(a, step) {
			found = append(found, behindRun{session: s, allocation: a})
		}
	}
	if 2*behind > runs {
		c.migrations.behind[s] = true
	}
	for i := range found {
		found[i].beside, found[i].besideBehind = runs-1, behind-1
	}
	slices.SortFunc(found, func(a, b behindRun) int { return compareTasks(a.task, b.task) })
	return found
}

// mayMove reports whether the run may be stopped for a move. Only the first run of a task is, so that a task moves at most once, also under
// several owners. A team that is at its limit keeps the run, because another task of the team could take its quota.
func (c *Conductor) mayMove(a *allocation, step *lifecycler.Step) bool {
	return a.run == 1 && a.answered && !a.stopping && !a.orphan && step.Spec.Checkpointing && !step.Spec.LongRunning &&
		c.migrations.moving[a.task] == nil && c.waitingSteps[step.ID] == nil && c.accounts.Fits(a.team, a.counted, 1) > 0
}

// considerMove begins the move of a task if it pays. It requests the tickets that the move needs first.
func (c *Conductor) considerMove(p *pass, b behindRun) {
	s, a := b.session, b.allocation
	j := c.jobs[a.task.Job]
	step, _ := j.Step(a.task.StepID)
	allowed := objectiveOf(j)
	w := newWaitingStep(j, step, []int{a.task.Index}, allowed)
	w.tier, w.preference = onTime, matcher.FastFirst
	if p.now.After(w.due.Add(allowed)) {
		w.latestStart = w.worthlessAt.Add(-j.RemainingTime(a.task.Step))
		w.rank = w.newRank()
	}
	targets := c.targets(p, w, s)
	to, ticketed := c.bestTarget(p.now, w, s, targets)
	if to == nil || j.advice[step.ID].refuses(s.server) {
		return
	}
	t := migrator.Task{
		Step: a.task.StepID, Count: step.Spec.Count, Elapsed: p.now.Sub(a.startedAt), Percent: a.percent,
		Speed: c.speeds.calibrator.Of(s.id).Factor, TargetSpeed: c.speeds.calibrator.Of(to.id).Factor,
		Saved: step.Tasks[a.task.Index].Checkpoint != "", Beside: b.beside, BesideBehind: b.besideBehind,
		Left: w.latestStart.Add(step.Spec.Estimate).Sub(p.now),
	}
	d := c.migrations.migrator.Decide(t)
	if !d.Moves {
		return
	}
	if !ticketed {
		c.requestTickets(p, w, append(targets, s))
		return
	}
	m := &migration{run: a.run, from: s, to: to, need: a.need, expiresAt: p.now.Add(migrationTimeout)}
	c.migrations.moving[a.task] = m
	m.keep(&m.keptTo, to)
	c.logDecision("TaskMoved", a.task, a.run, s.id, "to "+string(to.id)+"; "+d.Text(t)+"; last response "+s.sinceResponse(p.now)+" ago")
	c.stop(p.now, s, a)
}

// targets returns the servers to which a task may move, fastest first.
func (c *Conductor) targets(p *pass, w *waitingStep, from *session) []*session {
	adv := w.job.adviceFor(w.step.ID)
	servers := slices.DeleteFunc(p.candidates(w), func(s *session) bool {
		return s == from || c.migrations.behind[s] || w.job.avoid[s.id] || adv.refuses(s.server) || !c.mayMoveTo(p, w, s)
	})
	known := c.speeds.calibrator
	slices.SortStableFunc(servers, func(a, b *session) int { return cmp.Compare(known.Of(b.id).Factor, known.Of(a.id).Factor) })
	return servers
}

// bestTarget returns the fastest of the servers to which a task may move, and whether there are the tickets that the move needs.
func (c *Conductor) bestTarget(now time.Time, w *waitingStep, from *session, servers []*session) (to *session, ticketed bool) {
	if len(servers) == 0 {
		return nil, false
	}
	if !w.job.queue.Advice.Needed {
		return servers[0], true
	}
	// The tickets have to be valid when the former run has ended, and that for its server, too, in case the other server refuses.
	validAt := now.Add(accountant.StoppingTime)
	if !c.hasTicket(validAt, w, from) {
		return servers[0], false
	}
	for _, s := range servers {
		if c.hasTicket(validAt, w, s) {
			return s, true
		}
	}
	return servers[0], false
}

// requestTickets requests tickets for servers, unless a call for the step is under way.
func (c *Conductor) requestTickets(p *pass, w *waitingStep, servers []*session) {
	if w.job.queue.Advice.Needed && p.mayRequestAdvice(w) {
		names := serverIDs(servers)
		if limit := adviceServers; len(names) > limit {
			// The last one is the server of the task.
			names = append(names[:limit-1:limit-1], names[len(names)-1])
		}
		c.callForAdvice(p, w, w.job.adviceFor(w.step.ID), names)
	}
}
