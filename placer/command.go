package placer

import "egretring.example/egretring/describer"

// Command is something that the caller of the core has to do.
type Command interface {
	isCommand()
}

// PlaceTask gives a task a place. The tasks of a gang job are placed in one answer of Handle.
type PlaceTask struct {
	Task   describer.TaskID
	Server describer.BackendServerID
	// Resources is the declared or learned need for which room is kept.
	Resources describer.Resources
}

// EvictionReason says why a task has to give way.
type EvictionReason string

// The reasons of an eviction.
const (
	// Preempted means that urgent work or a reservation needs the room.
	Preempted EvictionReason = "Preempted"
	// ServerLeaving means that the backend server is leaving.
	ServerLeaving EvictionReason = "ServerLeaving"
	// ServerStrained means that the real use of the backend server is near its capacity.
	ServerStrained EvictionReason = "ServerStrained"
)

// EvictTask asks for a checkpoint of a task, after which the task leaves its backend server.
type EvictTask struct {
	Task   describer.TaskID
	Reason EvictionReason
}

// ThrottleTask asks the backend server to slow a task down.
type ThrottleTask struct {
	Task   describer.TaskID
	Server describer.BackendServerID
}

func (PlaceTask) isCommand()    {}
func (EvictTask) isCommand()    {}
func (ThrottleTask) isCommand() {}
