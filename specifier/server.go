package specifier

import "time"

// Server is the registration of a backend server.
type Server struct {
	ID      ServerID
	Service string
	Address string
	Zone    string
	// Incarnation is the start time of the server in Unix milliseconds; each restart of the server begins a new one.
	Incarnation int64
	Draining    bool
	Capacity    Resources
	Labels      []string
}

// HasLabel reports whether the server has a label. Every server has the empty label.
func (s Server) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, own := range s.Labels {
		if own == label {
			return true
		}
	}
	return false
}

// EndReason says how a run ended.
type EndReason string

// The reasons for the end of a run.
const (
	// RunDone means that the task has completed its work.
	RunDone EndReason = "done"
	// RunFailed means that the task or its backend server failed; only these ends count as attempts.
	RunFailed EndReason = "failed"
	// RunStopped means that the run was stopped by an order.
	RunStopped EndReason = "stopped"
	// RunLeaseExpired means that the lease expired.
	RunLeaseExpired EndReason = "lapsed"
	// RunGangBroken means that another member of the gang ended.
	RunGangBroken EndReason = "broken"
	// RunGangIncomplete means that the other members of the gang did not start in time.
	RunGangIncomplete EndReason = "alone"
)

// RunningTask is a run that a backend server reports.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is the speed that the server allows the run, as a percentage of full speed.
	Percent int
	// Measurement is the tail latency in milliseconds for serving tasks, and the used thousandths of a core for others.
	Measurement int64
}

// EndedTask is the end of a run. Numbers are consecutive within one incarnation of a backend server.
type EndedTask struct {
	Number     int64
	Task       TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// ServerReport is the response of a backend server to a lease renewal.
type ServerReport struct {
	Incarnation int64
	Clock       time.Duration
	Running     []RunningTask
	Ended       []EndedTask
	// EndsMissing is set when Ended may lack the ends after those listed. The server lists them once these are acknowledged.
	EndsMissing bool
}

// StartOrder orders a backend server to start a run.
type StartOrder struct {
	Task       TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// Fence is the fencing token; a server rejects orders with a token lower than the highest that it has seen.
	Fence int64
	// LeaseEnd is on the clock of the backend server.
	LeaseEnd time.Duration
}

// OrderResult is the outcome of an order to a backend server.
type OrderResult int

// The results of an order.
const (
	// OrderDone means that the order was carried out.
	OrderDone OrderResult = iota
	// OrderUnknown means that no response arrived, or one that does not state the outcome: the order may have been
	// carried out already, or may still be.
	OrderUnknown
	// OrderFenced means that the server has seen a higher fencing token.
	OrderFenced
	// OrderObsolete means that this run or a later one of the task has already ended on the server.
	OrderObsolete
	// OrderLeaseExpired means that the lease in the order had already expired.
	OrderLeaseExpired
	// OrderNoCapacity means that the server has too little free capacity.
	OrderNoCapacity
	// OrderNoTicket means that the advice ticket was missing or had expired.
	OrderNoTicket
	// OrderOtherIncarnation means that another incarnation of the server received the order.
	OrderOtherIncarnation
	// OrderUnhealthy means that the server refused because it is unhealthy.
	OrderUnhealthy
	// OrderInvalid means that the server rejected the order as malformed, or that its report was malformed.
	OrderInvalid
	// OrderNotSent means that no connection to the server could be opened, so that the order had no effect.
	OrderNotSent
	// OrderRefused means that the server has reset the new connection of a lease renewal, as it does while it has as many connections
	// as it accepts.
	OrderRefused
)

// OrderReply is the response of a backend server to an order.
type OrderReply struct {
	Result OrderResult
	// Clock is the server's clock when it responded, if HasClock is set.
	Clock    time.Duration
	HasClock bool
}

var orderResultNames = [...]string{
	"Done", "Unknown", "Fenced", "Obsolete", "Late", "NoRoom", "NoTicket", "OtherLife", "Unhealthy", "Invalid", "NotSent", "Refused",
}

// String returns the name of the result.
func (r OrderResult) String() string {
	return orderResultNames[r]
}

// Grant is the advice service's permission, with a ticket, to start tasks of a step on a backend server.
type Grant struct {
	Server ServerID
	Ticket string
}
