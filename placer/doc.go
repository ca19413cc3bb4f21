// Package placer assigns the tasks of one availability zone to its backend servers. It tracks the resources allocated
// on each backend server, learns the need of tasks from usage reports, and chooses which tasks are evicted when
// capacity is short. For a job that fits nowhere it reserves capacity that is expected to become free. Until then it
// backfills the reserved capacity with tasks that are expected to end in time.
//
// The package does no I/O and reads no clock: the caller passes events with a time, and carries out the returned
// commands.
package placer
