package placer

import "egretring.example/egretring/describer"

// Command is an action that the caller of the placer has to carry out.
type Command interface {
	isCommand()
}

// PlaceTask assigns a task to a backend server. The tasks of a gang job are placed by one call of Handle.
type PlaceTask struct {
	Task   describer.TaskID
	Server describer.BackendServerID
	// Resources is the declared or learned need that is allocated to the task.
	Resources describer.Resources
}

// EvictionReason is the reason why a task is evicted.
type EvictionReason string

// The reasons of an eviction.
const (
	// Preempted means that urgent work or a reservation needs the capacity.
	Preempted EvictionReason = "Preempted"
	// ServerLeaving means that the backend server is leaving.
	ServerLeaving EvictionReason = "ServerLeaving"
	// ServerOverloaded means that the measured use of the backend server is near its capacity.
	ServerOverloaded EvictionReason = "ServerStrained"
)

// EvictTask requests a checkpoint of a task, after which the task leaves its backend server.
type EvictTask struct {
	Task   describer.TaskID
	Reason EvictionReason
}

// ThrottleTask requests that the backend server throttle a task.
type ThrottleTask struct {
	Task   describer.TaskID
	Server describer.BackendServerID
}

func (PlaceTask) isCommand()    {}
func (EvictTask) isCommand()    {}
func (ThrottleTask) isCommand() {}
