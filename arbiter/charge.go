package arbiter

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Charge is what a run has cost its team. The zero value is that of a run without a charge.
type Charge struct {
	flow *flow
	// perSecond is the virtual time for each second of the run, and expected the run time that was charged.
	perSecond float64
	expected  time.Duration
}

// Start charges the start of a run of a step, with the estimate of its run time. It must follow Next for the step.
func Start[V any](a *Arbiter, r *Rank[V], need specifier.Resources, estimate time.Duration) Charge {
	if r.flow == nil {
		return Charge{}
	}
	c := Charge{
		flow: r.flow, expected: max(estimate, minExpected),
		perSecond: a.dominantShare(r.Service, need) / a.weight(r.Team),
	}
	c.flow.serve(c.perSecond * c.expected.Seconds())
	return c
}

// End corrects the charge to the actual run time. More than the credit of a team beyond the virtual time is not charged: a team that ran
// alone on idle capacity does not pay for wrong estimates later.
func (a *Arbiter) End(c Charge, took time.Duration) {
	if c.flow == nil {
		return
	}
	difference := c.perSecond * (max(took, minExpected) - c.expected).Seconds()
	if difference <= 0 {
		c.flow.tag += difference
		return
	}
	c.flow.tag = max(c.flow.tag, min(c.flow.tag+difference, c.flow.clock.now+a.maxLag))
}

// Withdraw takes back the charge of a run that did not start.
func (a *Arbiter) Withdraw(c Charge) {
	if c.flow != nil {
		c.flow.tag -= c.perSecond * c.expected.Seconds()
	}
}
