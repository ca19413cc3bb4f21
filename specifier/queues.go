package specifier

import "slices"

// Queues is an immutable set of queues. It finds a queue without a search through all of them, because a configuration may
// have thousands and every request of a caller names one.
type Queues struct {
	list   []Queue
	byName map[string]int
	byHost map[string]hostQueues
}

// hostQueues finds the queues of one host.
type hostQueues struct {
	byPrefix map[string]int
	// lengths are the different lengths of the prefixes, the longest first.
	lengths []int
}

// NewQueues returns the set of some queues. Of several queues with the same name, or with the same host and prefix, the first
// one counts.
func NewQueues(list ...Queue) Queues {
	q := Queues{list: list, byName: make(map[string]int, len(list)), byHost: make(map[string]hostQueues)}
	for i, queue := range list {
		if _, known := q.byName[queue.Name]; !known {
			q.byName[queue.Name] = i
		}
		host, known := q.byHost[queue.Host]
		if !known {
			host.byPrefix = make(map[string]int)
		}
		if _, known := host.byPrefix[queue.Prefix]; !known {
			host.byPrefix[queue.Prefix] = i
		}
		if !slices.Contains(host.lengths, len(queue.Prefix)) {
			host.lengths = append(host.lengths, len(queue.Prefix))
		}
		q.byHost[queue.Host] = host
	}
	for _, host := range q.byHost {
		slices.SortFunc(host.lengths, func(a, b int) int { return b - a })
	}
	return q
}

// All returns the queues in the order of the configuration.
func (q Queues) All() []Queue {
	return slices.Clone(q.list)
}

// Len returns the number of queues.
func (q Queues) Len() int {
	return len(q.list)
}

// With returns the set with one more queue.
func (q Queues) With(queue Queue) Queues {
	return NewQueues(append(slices.Clone(q.list), queue)...)
}

// For returns the queue of a host with the longest prefix that matches the path. A queue without a prefix matches no path.
func (q Queues) For(host, path string) (Queue, bool) {
	queues := q.byHost[host]
	for _, length := range queues.lengths {
		if length == 0 || length > len(path) {
			continue
		}
		if i, found := queues.byPrefix[path[:length]]; found {
			return q.list[i], true
		}
	}
	return Queue{}, false
}

// Named returns the queue with a name.
func (q Queues) Named(name string) (Queue, bool) {
	i, found := q.byName[name]
	if !found {
		return Queue{}, false
	}
	return q.list[i], true
}
