package specifier

import "time"

// Server is a backend server as it registered itself.
type Server struct {
	ID      ServerID
	Service string
	Address string
	Zone    string
	// Born identifies one life of the server, in Unix milliseconds.
	Born     int64
	Draining bool
	Capacity Resources
	Labels   []string
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
	// RunDone means that the task has finished its work.
	RunDone EndReason = "done"
	// RunFailed means a failure of the task or of its backend server; only such ends count as attempts.
	RunFailed EndReason = "failed"
	// RunStopped follows a stop order.
	RunStopped EndReason = "stopped"
	// RunLapsed means that the lease ended.
	RunLapsed EndReason = "lapsed"
	// RunBroken means that another member of the gang ended.
	RunBroken EndReason = "broken"
	// RunAlone means that the other members of the gang did not come in time.
	RunAlone EndReason = "alone"
)

// RunningTask is a run that a backend server reports.
type RunningTask struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is the share of full speed that the run is allowed.
	Percent int
	// Gauge is the tail latency in milliseconds for serving tasks, and the used thousandths of a core for others.
	Gauge int64
}

// EndedTask is the end of a run. Numbers grow by one in each life of a backend server.
type EndedTask struct {
	Number     int64
	Task       TaskID
	Run        int
	Reason     EndReason
	Checkpoint string
}

// ServerReport is what a backend server says when its lease is renewed.
type ServerReport struct {
	Born    int64
	Clock   time.Duration
	Running []RunningTask
	Ended   []EndedTask
}

// StartOrder tells a backend server to start a run.
type StartOrder struct {
	Task       TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// Fence is the fencing token; a server ignores orders below the highest that it has seen.
	Fence int64
	// LeaseEnd is on the clock of the backend server.
	LeaseEnd time.Duration
}

// OrderResult says what became of an order to a backend server.
type OrderResult int

// The results of an order.
const (
	// OrderDone means that the order was carried out.
	OrderDone OrderResult = iota
	// OrderUnknown means that no answer arrived: the order may have been carried out, or may still be.
	OrderUnknown
	// OrderFenced means that the server has seen a higher fencing token.
	OrderFenced
	// OrderObsolete means that this run or a later one has already ended there.
	OrderObsolete
	// OrderLate means that the lease in the order had already ended.
	OrderLate
	// OrderNoRoom means that the server has too little capacity left.
	OrderNoRoom
	// OrderNoTicket means that the advice ticket was missing or had expired.
	OrderNoTicket
	// OrderOtherLife means that another life of the server answered.
	OrderOtherLife
	// OrderUnhealthy means that the server declined because it is not healthy.
	OrderUnhealthy
	// OrderInvalid means that the server did not accept the order's form.
	OrderInvalid
)

var orderResultNames = [...]string{
	"Done", "Unknown", "Fenced", "Obsolete", "Late", "NoRoom", "NoTicket", "OtherLife", "Unhealthy", "Invalid",
}

// String returns the name of the result.
func (r OrderResult) String() string {
	return orderResultNames[r]
}

// Grant admits a backend server for the tasks of a step.
type Grant struct {
	Server ServerID
	Ticket string
}
