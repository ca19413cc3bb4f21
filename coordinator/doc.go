// Package coordinator runs one instance of a cell on a platform. A cell is the instances and backend servers of all
// availability zones that one deployment of egretring schedules as a whole; if package sharder divides it into shards,
// a Coordinator runs its instance for one shard, with the shard's backend servers and jobs. The coordinator takes part
// in the election of the owner, the instance that schedules the jobs, and runs the scheduling state machine of package
// conductor while this instance is the owner. It accepts callers' jobs, responds to their queries, and makes advice
// calls for the owner.
package coordinator
