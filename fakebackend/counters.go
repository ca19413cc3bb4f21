package fakebackend

import "time"

// Counters count what happened at one backend server.
type Counters struct {
	// Runs is how many requests were run, also those whose answer was lost.
	Runs int64
	// Refused is how many requests were refused without running them.
	Refused int64
	// LatestWhileLeaving is the longest time after the server began to leave at which new work arrived.
	LatestWhileLeaving time.Duration
	// Answered is how many complete answers below status 500 were sent.
	Answered int64
	// Cancelled is how many runs ended early because the connection was closed.
	Cancelled int64

	BusySlots        int
	HighestBusySlots int
	// SlotsExceeded is how many requests arrived while all slots were busy. They were run nevertheless.
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
	// CapacityExceeded is how many tasks were started that did not fit. They were run nevertheless.
	CapacityExceeded int64
	HighestTasks     int
}
