// Package calibrator learns the speeds of backend servers from the times that runs take on them. It has no clock: callers
// pass the time.
//
// The logarithm of a run time is modelled as that of the work of its step, less that of the speed of its server, plus noise.
// The work of a step is known from its other runs, and less well from its estimate and from what estimates of its queue are
// off by on average. Both sources are combined by their variances, so that a queue that mostly runs on fast servers
// does not make these look average.
//
// A server is classified once the standard deviation of its logarithmic speed is at most maxClassDeviation, and the speeds of half of the
// servers are known from minEnds ends each, or from earlyEnds if they differ by earlySpread. With the users' load
// that is so after about nine ends a server on average (TestEndsUntilFastServersAreKnown).
package calibrator
