// Package retrier decides whether and when a failed attempt is retried, within a retry budget.
package retrier
