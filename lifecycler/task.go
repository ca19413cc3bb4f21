package lifecycler

import "egretring.example/egretring/specifier"

// TaskState is the state of a task.
type TaskState int

// The states of a task.
const (
	// Waiting tasks have no run on any server.
	Waiting TaskState = iota
	// Placed tasks have a run that is assigned to a server: its start may be pending, or it is running or being stopped.
	Placed
	// Done tasks have completed their work.
	Done
)

// Task is one task of a step.
type Task struct {
	State TaskState
	// Run is the number of the newest run; it grows with each start.
	Run int
	// FailedRuns are the numbers of the runs that failed. They are recorded instead of a count because a server may
	// report the same end again to a later owner. The failed runs of a gang are recorded in its first task.
	FailedRuns []int
	// Server is the backend server that the newest run was assigned to, and Incarnation and Address are its incarnation and address
	// at that time.
	Server      specifier.ServerID
	Incarnation int64
	Address     string
	// LongLease is that of the newest run's Placement.
	LongLease bool
	// Start is that of the newest run.
	Start      StartState
	Checkpoint string
	// Crashes are the crashes of servers under runs of the task since one of them has lasted for long.
	Crashes []Crash
}
