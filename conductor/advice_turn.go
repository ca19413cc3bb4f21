package conductor

import (
	"time"

	"egretring.example/egretring/specifier"
)

// adviceTurn gives a step that lacks advice precedence for calls, for as long as servers would be held for it.
type adviceTurn struct {
	step      specifier.StepID
	expiresAt time.Time
}

// endAdviceTurns ends the turns of steps that have started, or no longer lack advice, and of those whose calls have not helped in
// time, so that other steps get theirs.
func (c *Conductor) endAdviceTurns(p *pass) {
	for service, turn := range c.needsAdvice {
		w := c.permittedStep(turn.step)
		switch {
		case w == nil || !c.lacksAdvice(p, w):
			delete(c.needsAdvice, service)
		case !p.now.Before(turn.expiresAt):
			w.wait.postponeHold(p.now)
			delete(c.needsAdvice, service)
		}
	}
}
