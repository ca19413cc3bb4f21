// Package scheduler runs the state machines for tasks in an entry instance. As the placing member of its zone, the
// instance runs a starter.Starter against the store and the backend servers. As the planning member of the cell, it
// runs a planner.Planner and writes the plan to the store.
package scheduler
