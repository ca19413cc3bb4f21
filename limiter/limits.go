package limiter

const (
	// DefaultMaxConnections is assumed for servers whose configuration states no limit; it is that of the platform's smallest ones.
	DefaultMaxConnections = 64
	// callShare divides the connections of a server to get those for concurrent calls of an owner: the owner, a former one that
	// still renews leases, and the owner of another shard that has borrowed the server have three eighths together.
	callShare = 8
	// leftShare divides the connections of a server to get those that lost owners of a shard may leave open.
	leftShare = 4
	// maxCalls bounds the concurrent calls to a server that accepts many connections. A call takes a few milliseconds.
	maxCalls = 16
	// KeptConnections is the number of connections that stay open between calls: one for the renewal that waits for the end of a
	// run, and one for orders.
	KeptConnections = 2
	// maxLosses bounds the losses of owners for which a server that accepts many connections leaves room.
	maxLosses = 16
)

// Limits bound the connections of an owner to a backend server.
type Limits struct {
	// Calls is the number of concurrent calls, each of which has a connection.
	Calls int
	// Left is the number of connections that this owner and lost ones may leave open when they are lost.
	Left int
}

// LimitsOf returns the limits for a server that accepts a number of connections; zero is unknown.
func LimitsOf(maxConnections int) Limits {
	if maxConnections <= 0 {
		maxConnections = DefaultMaxConnections
	}
	return Limits{
		Calls: min(max(1, maxConnections/callShare), maxCalls),
		Left:  min(maxConnections/leftShare, maxLosses*KeptConnections),
	}
}

// Class orders the calls to a server.
type Class int

// The classes of calls, the least urgent one first.
const (
	// Order is a start of a step that is not urgent, or a stop.
	Order Class = iota
	// UrgentStart is a start of an urgent step.
	UrgentStart
	// Renewal renews the lease of all runs on the server.
	Renewal
	classes
)

// callsOf returns how many calls may be under way for another one of a class to begin. Each class has a part of its own, so that calls
// without a response delay no more urgent ones.
func (l Limits) callsOf(class Class) int {
	switch class {
	case Renewal:
		return l.Calls
	case UrgentStart:
		return max(1, l.Calls-1)
	default:
		return max(1, l.Calls-1-l.Calls/4)
	}
}
