// Package estimator learns the run time of each kind of request from completed attempts, and which work counts as long.
package estimator
