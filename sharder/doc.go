// Package sharder divides the backend servers and jobs of a large cell into shards, because
// the processor of an owner bounds how many servers it can serve. The owner of a shard is the instance that is elected to
// schedule the shard's jobs. A small cell has one shard. The number of shards, called the layout, is determined once and
// kept in the store. Owners lend each other idle servers for steps that do not fit the servers of their shard.
package sharder
