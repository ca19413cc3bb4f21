// Package specifier defines the immutable values that describe callers' jobs, their queues, and the backend servers and
// runs that execute them. It is shared by the packages that accept, place and report jobs.
package specifier
