// Package matcher decides which servers suit a step when their speeds differ, and which fast servers are kept free for urgent
// steps. It has no clock: callers pass the time. The speeds come from package calibrator.
package matcher
