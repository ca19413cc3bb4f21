package committer

import (
	"time"

	"egretring.example/egretring/describer"
)

// RecordKind distinguishes the record of the start of an attempt from that of its end.
type RecordKind string

// The kinds of records.
const (
	Started RecordKind = "Started"
	Ended   RecordKind = "Ended"
)

// Outcome is how an attempt ended.
type Outcome string

// The outcomes of an attempt.
const (
	// Succeeded means that the task ran to its end.
	Succeeded Outcome = "Succeeded"
	// Failed means that the task ended with an error, or that its backend server refused to start it.
	Failed Outcome = "Failed"
	// Checkpointed means that the task was stopped and continues from a checkpoint.
	Checkpointed Outcome = "Checkpointed"
	// Stopped means that the task was stopped on request.
	Stopped Outcome = "Stopped"
	// Lost means that the lease of the task at its backend server expired.
	Lost Outcome = "Lost"
	// GivenUp means that the task used up its attempts.
	GivenUp Outcome = "GivenUp"
)

// IsFinal reports whether the task does not run again after this outcome.
func (o Outcome) IsFinal() bool {
	return o == Succeeded || o == GivenUp
}

// Record is the start or the end of one attempt of a task.
type Record struct {
	Kind      RecordKind
	Task      describer.TaskID
	Attempt   int
	Epoch     describer.Epoch
	Server    describer.BackendServerID
	Resources describer.Resources
	At        time.Time
	Outcome   Outcome `json:",omitempty"`
	// Failures is how many attempts of the task have failed so far.
	Failures int    `json:",omitempty"`
	Reason   string `json:",omitempty"`
}

// Finished is a range of tasks of a job that do not run again.
type Finished struct {
	Job     describer.JobID
	First   int
	Count   int
	Outcome Outcome
}
