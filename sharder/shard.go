package sharder

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"

	"egretring.example/egretring/specifier"
)

const (
	// serversPerProcessor is the number of backend servers that one owner serves with a whole processor. It is a compromise:
	// owners of 88 servers with 0.8 of a core kept up best, but advice admits a third of a shard's servers, and gangs of up to
	// 120 tasks with two on a server did not fit into 88; they fit into 175.
	serversPerProcessor = 220
	// defaultProcessors is assumed for an instance that does not know its share of processors.
	defaultProcessors = 0.8
	// mostShards bounds the shards, because each needs a port of its own between instances.
	mostShards = 8
)

// Shard is a part of the cell.
type Shard struct {
	Index int
	// Count is the number of shards of the cell.
	Count int
}

// ShardsFor returns the number of shards for a number of backend servers and owners with a share of processors.
func ShardsFor(servers int, processors float64) int {
	if processors <= 0 {
		processors = defaultProcessors
	}
	return min(max(1, int(math.Round(float64(servers)/(serversPerProcessor*processors)))), mostShards)
}

// Prefix returns the prefix of the shard's keys.
func (s Shard) Prefix() string {
	if s.Count == 1 {
		return rootPrefix
	}
	return fmt.Sprintf("%s%d/", rootPrefix, s.Index)
}

// HasJob reports whether a job belongs to the shard.
func (s Shard) HasJob(id specifier.JobID) bool {
	return s.Index == jobShard(id, s.Count)
}

func jobShard(id specifier.JobID, count int) int {
	return hashed(string(id)) % count
}

// HasServer reports whether a backend server belongs to the shard. Neighbouring addresses belong to different shards, so
// that the servers of a rack and of an availability zone are spread evenly.
func (s Shard) HasServer(server specifier.Server) bool {
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil {
		return s.Index == hashed(server.Address)%s.Count
	}
	bytes := address.Addr().AsSlice()
	low := int(bytes[len(bytes)-2])<<8 | int(bytes[len(bytes)-1])
	return s.Index == low%s.Count
}

// HasAdvisor reports whether an instance makes advice calls for the shard: the advice service handles the calls of an
// instance in turn, so that shards would hold each other up.
func (s Shard) HasAdvisor(instance string) bool {
	return s.Index == hashed(instance)%s.Count
}

func hashed(text string) int {
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(text))
	return int(h.Sum32() & 0x7fffffff)
}
