// Package accountant counts what the tasks of each team occupy on all backend servers together, and tells how many more of them may
// start within the limits of the teams. It is pure: the owner of a shard, to which all jobs of a team belong, calls it.
package accountant
