package starter

import "time"

const (
	// CallTimeout bounds a call to a backend server. A call carries its deadline and takes no effect after it, so the
	// lease that a call grants ends at the latest CallTimeout plus the lease duration after the call was sent.
	CallTimeout = 2 * time.Second

	defaultLease          = 30 * time.Second
	defaultRenewInterval  = 10 * time.Second
	defaultLossTimeout    = 15 * time.Second
	defaultLeaseMargin    = 2 * time.Second
	defaultMaxAttempts    = 5
	defaultCheckpointTime = 1200 * time.Millisecond

	// resendInterval is the time after which a start or stop without a response is retried.
	resendInterval = CallTimeout
	// clockSkew is the largest assumed difference between the clocks of a backend server and of this member.
	clockSkew = time.Second
)

type settings struct {
	lease          time.Duration
	renewInterval  time.Duration
	lossTimeout    time.Duration
	leaseMargin    time.Duration
	checkpointTime time.Duration
	maxAttempts    int
}

// Option changes a setting of a starter.
type Option func(*settings)

// WithLease sets the duration of the lease of a task at its backend server. The lease is renewed after a third of it,
// and a backend server without any response or report for half of it is lost.
func WithLease(lease time.Duration) Option {
	return func(s *settings) {
		s.lease, s.renewInterval, s.lossTimeout = lease, lease/3, lease/2
	}
}

// WithMaxAttempts sets after how many failures a task is given up if its job does not specify MaxAttempts.
func WithMaxAttempts(attempts int) Option {
	return func(s *settings) { s.maxAttempts = attempts }
}

// WithCheckpointTime sets how long a checkpoint may take before the task is stopped.
func WithCheckpointTime(limit time.Duration) Option {
	return func(s *settings) { s.checkpointTime = limit }
}
