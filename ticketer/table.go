package ticketer

import (
	"hash/fnv"
	"reflect"
	"slices"
)

// shardCount is the number of shards of a table. With 160,000 jobs, a change copies one shard of a few hundred entries.
const shardCount = 256

// table is an immutable map. A change copies one shard and shares the others.
type table[K ~string, V any] struct {
	shards *[shardCount]map[K]V
	count  int
}

func shardOf[K ~string](key K) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % shardCount)
}

func (t table[K, V]) get(key K) (V, bool) {
	if t.shards == nil {
		var zero V
		return zero, false
	}
	value, ok := t.shards[shardOf(key)][key]
	return value, ok
}

func (t table[K, V]) with(key K, value V) table[K, V] {
	_, exists := t.get(key)
	next, shard := t.copyShard(key)
	shard[key] = value
	if !exists {
		next.count++
	}
	return next
}

func (t table[K, V]) without(key K) table[K, V] {
	if _, exists := t.get(key); !exists {
		return t
	}
	next, shard := t.copyShard(key)
	delete(shard, key)
	next.count--
	return next
}

// copyShard returns a copy of the table that shares all shards but the one of the key, and the copy of that shard.
func (t table[K, V]) copyShard(key K) (table[K, V], map[K]V) {
	shards := new([shardCount]map[K]V)
	if t.shards != nil {
		*shards = *t.shards
	}
	index := shardOf(key)
	shard := make(map[K]V, len(shards[index])+1)
	for known, value := range shards[index] {
		shard[known] = value
	}
	shards[index] = shard
	return table[K, V]{shards: shards, count: t.count}, shard
}

// keys returns all keys in order.
func (t table[K, V]) keys() []K {
	keys := make([]K, 0, t.count)
	if t.shards == nil {
		return keys
	}
	for _, shard := range t.shards {
		for key := range shard {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// keysNotShared returns the keys in the shards that the two tables do not share. The values of all other keys are the
// same in both.
func (t table[K, V]) keysNotShared(other table[K, V]) []K {
	if t.shards == nil {
		return nil
	}
	var keys []K
	for i, shard := range t.shards {
		if other.shards != nil && reflect.ValueOf(shard).Pointer() == reflect.ValueOf(other.shards[i]).Pointer() {
			continue
		}
		for key := range shard {
			keys = append(keys, key)
		}
	}
	return keys
}

// values returns all values in the order of their keys.
func (t table[K, V]) values() []V {
	keys := t.keys()
	values := make([]V, len(keys))
	for i, key := range keys {
		values[i], _ = t.get(key)
	}
	return values
}

// withChanges returns the table with the changes of one section of a ticket; a nil value deletes its key.
func (t table[K, V]) withChanges(changes map[K]*V) table[K, V] {
	for key, value := range changes {
		t = t.withChange(key, value)
	}
	return t
}

func (t table[K, V]) withChange(key K, value *V) table[K, V] {
	if value == nil {
		return t.without(key)
	}
	return t.with(key, *value)
}

// tableOf returns a table of the values by their keys.
func tableOf[K ~string, V any](values []V, keyOf func(V) K) table[K, V] {
	if len(values) == 0 {
		return table[K, V]{}
	}
	result := table[K, V]{shards: new([shardCount]map[K]V)}
	for _, value := range values {
		key := keyOf(value)
		index := shardOf(key)
		if result.shards[index] == nil {
			result.shards[index] = make(map[K]V)
		}
		if _, exists := result.shards[index][key]; !exists {
			result.count++
		}
		result.shards[index][key] = value
	}
	return result
}
