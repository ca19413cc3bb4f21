// Package rater decides what of a team is within its rate, and what is refused of a team that sends more than can be served. It is pure: it
// contains no clock, goroutine or log.
//
// The owner of a team's jobs has a token bucket for the team (Rater). A job takes a token when it first starts within the rate. The waiting
// jobs for which there are no tokens are beyond the rate, and their steps yield to all work within rates.
//
// Jobs of a team that have the same priority are a line. While new jobs of a line would become worthless before they start, at the pace
// at which the line is served, the owner decides the share of them to refuse (Refusal). Whether a submission is refused follows from the hash of
// its job and from a window in the space of hashes that moves with time. The window passes each hash once in a turn, so that a job that was
// refused is accepted when it comes back at the time that the refusal has stated, however many others are sent meanwhile.
//
// What is refused of a team is written to the store (Statement, Register). Entry instances know the newest statements (Statements), and store jobs
// only on the condition that the statement that permits them is still in force. A refused job is therefore never stored by a commit that was
// under way when it was refused.
package rater
