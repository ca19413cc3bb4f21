// Package estimator learns the run time of each kind of request from completed and aborted attempts, and decides which
// work counts as long.
package estimator
