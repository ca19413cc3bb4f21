// Package intaker stores callers' jobs and cancellations before they are acknowledged. Submissions that arrive together
// are written in one transaction.
package intaker
