// Package migrator decides whether a task that is far behind the others of its step moves to another server with its saved checkpoint.
//
// A task is far behind when it has run for longer than other runs of the step, beyond what runs of a step differ by. Either the task has more
// work than the others, or its server is slower than known. Only in the second case does a server of the same speed help. Runs beside
// the task that are far behind, too, speak for the server. The task moves when its job is at risk and when the expected gain is larger than the
// work that is discarded: that since the last checkpoint.
package migrator
