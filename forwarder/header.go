package forwarder

// Headers of the protocol with callers, peers and backend servers.
const (
	HeaderDeadline       = "Egretring-Deadline"
	HeaderTimeout        = "Egretring-Timeout"
	HeaderRequest        = "Egretring-Request"
	HeaderRelayed        = "Egretring-Relayed"
	HeaderKind           = "Egretring-Kind"
	HeaderOutcome        = "Egretring-Outcome"
	HeaderNotRun         = "Egretring-Not-Run"
	HeaderLeaving        = "Egretring-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
)
