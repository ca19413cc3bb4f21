package printer

import (
	"fmt"
	"io"

	"egretring.example/egretring/demonstrator"
)

// Demo writes the result of a demo. Waits are in milliseconds.
func Demo(w io.Writer, result demonstrator.Result) error {
	classes := newTable(w, "CLASS", "SENT", "ANSWERED", "NOT-RUN", "UNKNOWN", "FAILED", "CANCELLED", "SILENT",
		"WAIT-P50", "WAIT-P99", "WAIT-P99.9")
	for _, c := range result.Classes {
		classes.row(c.Class, c.Sent, c.Answered, c.NotRun, c.Unknown, c.Failed, c.Cancelled, c.Silent,
			fmt.Sprintf("%.1fms", c.WaitP50), fmt.Sprintf("%.1fms", c.WaitP99), fmt.Sprintf("%.1fms", c.WaitP999))
	}
	if err := classes.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	guarantees := newTable(w, "GUARANTEE", "BROKEN")
	guarantees.row("requests lost", result.Lost)
	guarantees.row("requests or tasks doubled", result.Doubled)
	guarantees.row("requests run after the answer 'not run'", result.RunAfterNotRun)
	guarantees.row("answers not whole or not the caller's own", result.WrongAnswers)
	guarantees.row("requests above a backend server's slots", result.OverCapacity.Requests)
	guarantees.row("connections above a backend server's limit", result.OverCapacity.Connections)
	guarantees.row("tasks above a backend server's capacity", result.OverCapacity.Tasks)
	guarantees.row("leaving backend servers with new work after 2 s", result.LateToLeaving)
	guarantees.row("requests cut off by a graceful stop", result.CutDuringDrain)
	if err := guarantees.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	tasks := newTable(w, "TASKS", "COUNT")
	tasks.row("wanted", result.TasksWanted)
	tasks.row("running at the end", result.TasksRunning)
	tasks.row("running at the lowest", result.TasksLowest)
	tasks.row("started", result.TasksStarted)
	tasks.row("backend servers used", result.Packing.ServersUsed)
	tasks.row("backend servers needed by volume", result.Packing.ServersBound)
	if err := tasks.flush(); err != nil {
		return err
	}
	fmt.Fprintln(w)
	control := newTable(w, "CONTROL", "PER-SECOND")
	control.row("store writes", fmt.Sprintf("%.1f", result.Control.StoreWritesPerSecond))
	control.row("store reads", fmt.Sprintf("%.1f", result.Control.StoreReadsPerSecond))
	control.row("store watches", fmt.Sprintf("%.1f", result.Control.WatchesPerSecond))
	return control.flush()
}
