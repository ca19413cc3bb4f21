// Package starter manages the lifecycle of the tasks of one zone: it commits a start record before it sends the start,
// renews the lease of each task at its backend server, restarts lost and failed tasks, and gives up tasks that always
// fail. A placer.Placer, which the starter drives, chooses the backend servers.
//
// The placing member of a zone is the entry instance that runs the zone's starter. Each new placing member has a higher
// epoch, which is the fencing token in calls to backend servers: a backend server that has seen a newer epoch refuses
// calls with an older one.
//
// The package does no I/O and reads no clock: the caller passes events with a time, and carries out the returned
// commands.
package starter
