// Package starter takes the tasks of one zone through their lifecycle: it commits a start before it sends it, keeps
// the lease of each task at its backend server, restarts lost and failed tasks, and gives up tasks that always fail.
// The places are chosen by a placer.Placer that it drives.
//
// The package is pure: events with a time go in, commands come out.
package starter
