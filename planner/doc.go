// Package planner gives each job the zones in which its tasks run, within the quotas of the teams. It lets teams borrow
// what others leave idle, reports jobs that can never run, and moves tasks out of lost zones.
//
// The package is pure: events with a time go in, commands come out.
package planner
