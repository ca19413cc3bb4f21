package conductor

// The limit of a team is checked where runs are reserved, and again when their starts are sent, because a newer configuration may
// have lowered it. See docs/design/quota.md.

// isCounted reports whether the job of the step belongs to a team.
func (w *waitingStep) isCounted() bool {
	return w.job.Spec.Team != ""
}

// startableTasks returns how many waiting tasks of the step the limit of its team permits.
func (c *Conductor) startableTasks(w *waitingStep) int {
	return c.accounts.Fits(w.job.Spec.Team, w.step.Spec.Need, len(w.waiting))
}

// hasRuns reports whether a run of the waiting step exists, as one that was lost and has been found again. A gang that starts on its
// server would take its place in the count.
func (c *Conductor) hasRuns(w *waitingStep) bool {
	for s := range c.runs[w.job.Spec.ID] {
		if s.taskCount(w.step.ID) > 0 {
			return true
		}
	}
	return false
}
