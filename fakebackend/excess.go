package fakebackend

import (
	"fmt"
	"time"

	"egretring.example/egretring/describer"
)

// maxExcesses limits the excesses that a backend server keeps; its counters count all of them.
const maxExcesses = 16

// ExcessKind is what exceeded the capacity of a backend server.
type ExcessKind string

// The kinds of excesses.
const (
	ExcessRequest    ExcessKind = "request"
	ExcessConnection ExcessKind = "connection"
	ExcessTask       ExcessKind = "task"
)

// Excess is a request, a connection or a task start above the capacity of a backend server.
type Excess struct {
	BackendServer describer.BackendServerID
	Kind          ExcessKind
	At            time.Time
	// Subject identifies the request or the task attempt; it is empty for a connection.
	Subject string
	// Used is what the work needs together with all other work on the server, and Capacity is what the server has.
	Used     string
	Capacity string
}

// String implements fmt.Stringer.
func (e Excess) String() string {
	return fmt.Sprintf("%s %s %s %q: used %s, capacity %s",
		e.At.UTC().Format("15:04:05.000"), e.BackendServer, e.Kind, e.Subject, e.Used, e.Capacity)
}

// Excesses returns the first excesses in the order of their times.
func (s *State) Excesses() []Excess {
	return s.excesses
}

func (s *State) recordExcess(excess Excess) {
	if len(s.excesses) == maxExcesses {
		return
	}
	excess.BackendServer = s.id
	s.excesses = append(s.excesses, excess)
}
