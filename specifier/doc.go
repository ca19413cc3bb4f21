// Package specifier holds the immutable values that describe callers' jobs, their queues, and the backend servers and
// runs that carry them out. It is shared by the packages that accept, place and report jobs.
package specifier
