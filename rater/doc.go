// Package rater counts the jobs that teams send against their rates, and decides what is refused of a team that sends more than can be
// served. It is pure: it contains no clock, goroutine or log.
//
// The owner of a team's jobs has a token bucket for the team (Rater). A job that finds no token is beyond the rate; its steps yield to
// all work within rates. Tokens that the team does not use are given to its jobs beyond the rate that still wait.
//
// While jobs beyond the rate wait that have missed their objective, the owner states the share of new submissions to refuse (Refusal).
// Entry instances apply it (Refusals) until it is older than MaxAge. Whether a submission is refused follows from the hash of its job and
// from a window in the space of hashes that moves with time. The window passes each hash once in a turn, so that a job that was refused
// is accepted when it comes back at the time that the refusal has stated, however many others are sent meanwhile.
package rater
