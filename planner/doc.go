// Package planner assigns the tasks of each job to availability zones, within the quotas of the teams. It lets teams
// borrow the quota that others leave unused, reports jobs that can never run, and moves tasks out of lost or drained
// zones.
//
// The package is pure: events with a time go in, commands come out.
package planner
