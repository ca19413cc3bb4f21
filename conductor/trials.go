package conductor

import (
	"time"

	"egretring.example/egretring/assessor"
)

// startupTime is how long after its start a task that lasts should be at work. From then on it may fail at any time, so that only an
// earlier failure is held against its server.
const startupTime = time.Second

// trials returns the trials of the server if it is ejected.
func (s *session) trials(now time.Time) assessor.Trials {
	var trials assessor.Trials
	if !s.health.Ejected() {
		return trials
	}
	for _, a := range s.allocations {
		switch {
		case a.state != reserved && a.startedAt.Before(s.health.TrialsBegin()):
		case a.state == confirmed && now.Sub(a.startedAt) >= s.health.TrialTime():
			trials.Lasted++
		default:
			trials.Open++
		}
	}
	return trials
}
