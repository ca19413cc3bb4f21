package calibrator

import (
	"time"

	"egretring.example/egretring/specifier"
)

// Observation is the end of a run that did its whole work on one server.
type Observation struct {
	Server specifier.ServerID
	Step   specifier.StepID
	// Queue is the name of the job's queue, whose steps have estimates that are off alike.
	Queue    string
	Estimate time.Duration
	// Run is the time from the start to the end.
	Run time.Duration
}
