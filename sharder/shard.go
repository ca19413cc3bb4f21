package sharder

import (
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"

	"egretring.example/egretring/elector"
	"egretring.example/egretring/specifier"
)

const (
	// serversPerProcessor is the number of backend servers that one owner serves with a whole processor in a small cell.
	serversPerProcessor = 220
	// shardGrowth is the power of the cell's size with which the number of shards grows. Larger cells start fewer tasks for each of their
	// servers, and their gangs are wider: fewer and larger shards leave more capacity to them.
	shardGrowth = 2.0 / 3
	// defaultProcessors is assumed for an instance whose number of processors is unknown.
	defaultProcessors = 0.8
	// maxShards bounds the number of shards, because each needs its own port for calls between instances.
	maxShards = 8
)

// Shard identifies one part of the backend servers and jobs of a cell.
type Shard struct {
	Index int
	// Count is the number of shards of the cell.
	Count int
}

// ShardsFor returns the number of shards for a number of backend servers, given the number of processors of an owner; zero
// is unknown.
func ShardsFor(servers int, processors float64) int {
	if processors <= 0 {
		processors = defaultProcessors
	}
	needed := math.Pow(float64(servers)/(serversPerProcessor*processors), shardGrowth)
	return min(max(1, int(math.Round(needed))), maxShards)
}

// Prefix returns the prefix of the shard's keys. The only shard of a cell has no index in its prefix.
func (s Shard) Prefix() string {
	if s.Count == 1 {
		return rootPrefix
	}
	return fmt.Sprintf("%s%d/", rootPrefix, s.Index)
}

func (s Shard) withIndex(index int) Shard {
	s.Index = index
	return s
}

// ownerKey returns the key of the shard's owner among the keys of the cell.
func (s Shard) ownerKey() string {
	return shardStore{prefix: s.Prefix()}.storeKey(elector.OwnerKey)
}

// keysElsewhere returns the names, in the shard's store, that a key of the shard has in the other shards.
func (s Shard) keysElsewhere(key string) []string {
	var keys []string
	for index := range s.Count {
		if index != s.Index {
			keys = append(keys, cellKeyPrefix+shardStore{prefix: s.withIndex(index).Prefix()}.storeKey(key))
		}
	}
	return keys
}

// HasJob reports whether a job belongs to the shard.
func (s Shard) HasJob(id specifier.JobID) bool {
	return s.Index == jobShard(id, s.Count)
}

func jobShard(id specifier.JobID, count int) int {
	return hashOf(string(id)) % count
}

// HasServer reports whether a backend server belongs to the shard while it is not lent to another one. Neighbouring addresses belong to different shards, so
// that the servers of a rack and of an availability zone are spread evenly.
func (s Shard) HasServer(server specifier.Server) bool {
	return s.Index == homeOf(server, s.Count)
}

// homeOf returns the shard to which a server belongs.
func homeOf(server specifier.Server, count int) int {
	address, err := netip.ParseAddrPort(server.Address)
	if err != nil {
		return hashOf(server.Address) % count
	}
	bytes := address.Addr().AsSlice()
	lowBits := int(bytes[len(bytes)-2])<<8 | int(bytes[len(bytes)-1])
	return lowBits % count
}

// HasAdvisor reports whether an instance is designated to make advice calls for the shard. The advice service handles the
// calls of an instance one after the other, so that shards that share an instance would delay each other.
func (s Shard) HasAdvisor(instance string) bool {
	return s.Index == hashOf(instance)%s.Count
}

func hashOf(text string) int {
	h := fnv.New32a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(text))
	return int(h.Sum32() & 0x7fffffff)
}
