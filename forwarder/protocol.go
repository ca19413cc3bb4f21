package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
)

// Paths of the task and usage calls of a backend server.
const (
	PathUsage      = "/v1/usage"
	PathStart      = "/v1/tasks/start"
	PathRenew      = "/v1/tasks/renew"
	PathStop       = "/v1/tasks/stop"
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathThrottle   = "/v1/tasks/throttle"
)

var (
	// ErrStaleEpoch is returned when a backend server has seen a higher epoch; the call had no effect.
	ErrStaleEpoch = errors.New("backend server has seen a higher epoch")
	// ErrUnknownTask is returned when a backend server does not run the task with this attempt.
	ErrUnknownTask = errors.New("backend server does not run the task")
	// ErrNotStarted is returned when a backend server refused to start a task without starting it.
	ErrNotStarted = errors.New("backend server refused to start the task")
	// ErrNoResponse is returned when no usable response arrived from a backend server; the call may have taken effect.
	ErrNoResponse = errors.New("backend server gave no answer")
)

// IsErrStaleEpoch reports whether a call was refused because of its epoch.
func IsErrStaleEpoch(err error) bool {
	return errors.Is(err, ErrStaleEpoch)
}

// IsErrUnknownTask reports whether a call named a task that the backend server does not run.
func IsErrUnknownTask(err error) bool {
	return errors.Is(err, ErrUnknownTask)
}

// IsErrNotStarted reports whether the start of a task was refused.
func IsErrNotStarted(err error) bool {
	return errors.Is(err, ErrNotStarted)
}

// TaskState is the state of a task on a backend server.
type TaskState string

// The states of a task on a backend server.
const (
	TaskRunning   TaskState = "Running"
	TaskThrottled TaskState = "Throttled"
	TaskEnded     TaskState = "Ended"
	TaskFailed    TaskState = "Failed"
	TaskStopped   TaskState = "Stopped"
	// TaskExpired is the state of a task that was stopped because its lease had expired.
	TaskExpired TaskState = "Expired"
)

// IsActive reports whether a task in this state occupies its resources.
func (s TaskState) IsActive() bool {
	return s == TaskRunning || s == TaskThrottled
}

// StartCall starts a task under a lease.
type StartCall struct {
	Task         describer.TaskID
	Attempt      int
	Epoch        describer.Epoch
	Resources    describer.Resources
	LeaseSeconds float64
}

// TaskAttempt identifies one attempt of a task.
type TaskAttempt struct {
	Task    describer.TaskID
	Attempt int
}

// RenewCall renews the leases of tasks.
type RenewCall struct {
	Epoch        describer.Epoch
	Tasks        []TaskAttempt
	LeaseSeconds float64
}

// RenewReply lists the tasks of a RenewCall that the backend server does not run.
type RenewReply struct {
	Unknown []TaskAttempt
}

// TaskCall stops, checkpoints or throttles a task.
type TaskCall struct {
	Task    describer.TaskID
	Attempt int
	Epoch   describer.Epoch
}

// TaskReport is one task in a usage report.
type TaskReport struct {
	Task    describer.TaskID
	Attempt int
	Epoch   describer.Epoch
	State   TaskState
	Used    describer.Resources
}

// UsageReport is the usage that a backend server measured at SampledAt, some time before the report was requested.
type UsageReport struct {
	SampledAt   time.Time
	BusySlots   int
	Connections int
	Used        describer.Resources
	Tasks       []TaskReport
	// Leaving is sent in HeaderLeaving and not in the body.
	Leaving bool `json:"-"`
}

// TaskServer is the interface to a backend server that the task lifecycle uses.
type TaskServer interface {
	// Usage returns the latest usage report.
	Usage(ctx context.Context) (UsageReport, error)
	// Start starts a task; starting the same attempt again renews its lease.
	Start(ctx context.Context, call StartCall) error
	// Renew renews the leases of tasks.
	Renew(ctx context.Context, call RenewCall) (RenewReply, error)
	// Stop ends a task; when it returns nil the task does not run any more.
	Stop(ctx context.Context, call TaskCall) error
	// Checkpoint saves the state of a task.
	Checkpoint(ctx context.Context, call TaskCall) error
	// Throttle slows a task down.
	Throttle(ctx context.Context, call TaskCall) error
}
