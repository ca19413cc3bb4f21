package lifecycler

import "egretring.example/egretring/specifier"

// TaskState is the state of a task.
type TaskState int

// The states of a task.
const (
	// Waiting tasks run nowhere.
	Waiting TaskState = iota
	// Placed tasks have a run that is ordered, at work or being stopped.
	Placed
	// Done tasks have finished their work.
	Done
)

// Task is one task of a step.
type Task struct {
	State TaskState
	// Run is the number of the newest run; it grows with each start.
	Run int
	// Failures counts the runs that ended as failed.
	Failures int
	// FailedRun is the newest run that ended as failed.
	FailedRun int
	// Server carries or carried the newest run.
	Server     specifier.ServerID
	Checkpoint string
}
