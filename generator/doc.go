// Package generator generates a reproducible load from a seed: arrivals of requests with their kinds, classes,
// idempotency keys and run times.
package generator
