package fakebackend

import "time"

// Counters are the event counts, current values and peaks of one backend server.
type Counters struct {
	// Runs is the number of requests that were run, including those whose response was lost.
	Runs int64
	// Refused is the number of requests and task starts that the modes Leaving and Refuses rejected without running them.
	Refused int64
	// LatestWhileLeaving is the longest time between the start of the mode Leaving and the arrival of a request or task
	// start.
	LatestWhileLeaving time.Duration
	// Answered is the number of complete responses with a status below 500.
	Answered int64
	// Cancelled is the number of runs that ended early because the connection was closed.
	Cancelled int64

	BusySlots        int
	HighestBusySlots int
	// SlotsExceeded is the number of requests that arrived while all slots were busy. They were run nevertheless.
	SlotsExceeded int64

	Connections         int
	HighestConnections  int
	ConnectionsExceeded int64

	TasksStarted int64
	TasksEnded   int64
	TasksStopped int64
	TasksExpired int64
	Checkpoints  int64
	Throttles    int64
	StaleCalls   int64
	// CapacityExceeded is the number of task starts after which the declared resources of all running tasks exceeded the
	// server's capacity. The tasks were run nevertheless.
	CapacityExceeded int64
	HighestTasks     int
}
