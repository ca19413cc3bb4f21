// Package lifecycler holds the life of a job: its steps, tasks, attempts and states, and the record of it that is kept
// in the store. It is a pure core without clock, log or goroutine.
package lifecycler
