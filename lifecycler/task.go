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
	// FailedRuns are the runs that ended as failed. A server may list the same end again to a later owner. The failed
	// runs of a gang are kept with its first task.
	FailedRuns []int
	// Server carries or carried the newest run.
	Server     specifier.ServerID
	Checkpoint string
}
