// Package sharder divides the backend servers and jobs of a large cell into shards with an owner each, because the owner's
// processor bounds how many servers it can serve. A small cell has one shard. The number of shards, called the layout, is
// determined once and kept in the store.
package sharder
