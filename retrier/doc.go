// Package retrier decides whether a failed attempt is repeated and when, within a budget.
package retrier
