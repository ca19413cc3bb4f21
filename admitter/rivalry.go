package admitter

import "egretring.example/egretring/describer"

const (
	// maxShareFactor limits how much of a queue under pressure (see pressureThreshold) a team or service may fill, as a
	// multiple of an equal share.
	maxShareFactor = 2
)

// shareCounter counts the waiting requests of a class by name.
type shareCounter[K comparable] struct {
	counts map[K]int
	total  int
}

func newShareCounter[K comparable]() *shareCounter[K] {
	return &shareCounter[K]{counts: make(map[K]int)}
}

func (c *shareCounter[K]) add(name K) {
	c.counts[name]++
	c.total++
}

func (c *shareCounter[K]) remove(name K) {
	decrement(c.counts, name)
	c.total--
}

// exceedsShare reports whether the name has more than maxShareFactor equal shares of the waiting requests. One of two
// names may thus fill nearly the whole queue; the limit takes effect when more names share the queue.
func (c *shareCounter[K]) exceedsShare(name K) bool {
	competitors := len(c.counts)
	return competitors > 1 && c.counts[name]*competitors > maxShareFactor*c.total
}

// queueShares counts the waiting requests of each class by team and by service.
type queueShares struct {
	teams    [describer.ClassCount]*shareCounter[describer.TeamID]
	services [describer.ClassCount]*shareCounter[describer.ServiceID]
}

func newQueueShares() queueShares {
	var s queueShares
	for class := range s.teams {
		s.teams[class] = newShareCounter[describer.TeamID]()
		s.services[class] = newShareCounter[describer.ServiceID]()
	}
	return s
}

func (s *queueShares) add(request describer.Request) {
	s.teams[request.Class].add(request.Team)
	s.services[request.Class].add(request.Service)
}

func (s *queueShares) remove(request describer.Request) {
	s.teams[request.Class].remove(request.Team)
	s.services[request.Class].remove(request.Service)
}

func (s *queueShares) exceedsShare(request describer.Request) bool {
	return s.teams[request.Class].exceedsShare(request.Team) || s.services[request.Class].exceedsShare(request.Service)
}
