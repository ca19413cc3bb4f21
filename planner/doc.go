// Package planner assigns the tasks of each job to the availability zones of a cell, within the quotas of the teams. It
// lets teams borrow the quota that others leave unused, reports jobs that can never run, and moves tasks out of lost or
// drained zones.
//
// The package does no I/O and reads no clock: it turns events with a time into commands.
package planner
