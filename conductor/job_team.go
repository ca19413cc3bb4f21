package conductor

import "egretring.example/egretring/specifier"

// TeamOf returns the team of a job; it is empty for a job without a team and for an unknown one.
func (c *Conductor) TeamOf(id specifier.JobID) string {
	if j := c.jobs[id]; j != nil {
		return j.Spec.Team
	}
	return ""
}
