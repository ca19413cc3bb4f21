// Package scheduler runs the state machines for tasks in an entry instance. The placing member of a zone is the
// instance that holds position 0 of the zone's assignment; it runs a starter.Starter against the store and the backend
// servers. The planning member of the cell is the instance that holds the store key Cell/Planner; it runs a
// planner.Planner and writes the plan to the store. The cell is the cluster of all availability zones.
package scheduler
