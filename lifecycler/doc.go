// Package lifecycler is the state machine of a job: its steps, tasks, attempts and states, and the record of them that is
// kept in the store. It does no I/O and uses no clock, log or goroutine.
package lifecycler
