// Package scheduler runs the task cores in an entry instance. As the placing member of its zone it drives a
// starter.Starter against the store and the backend servers; as the planning member of the cell it drives a
// planner.Planner and writes the plan.
package scheduler
