package admitter

import "egretring.example/egretring/describer"

const (
	// partFactor is how many times its equal part of a queue a team or service may fill while the queue is pressed.
	partFactor = 2
)

// tally counts the waiting requests of a class by name.
type tally[K comparable] struct {
	counts map[K]int
	total  int
}

func newTally[K comparable]() *tally[K] {
	return &tally[K]{counts: make(map[K]int)}
}

func (t *tally[K]) add(name K) {
	t.counts[name]++
	t.total++
}

func (t *tally[K]) remove(name K) {
	decrement(t.counts, name)
	t.total--
}

// exceedsPart reports whether the name fills more than partFactor equal parts. Of two rivals, one may thus fill the
// queue nearly alone; the limit bites when several share it.
func (t *tally[K]) exceedsPart(name K) bool {
	rivals := len(t.counts)
	return rivals > 1 && t.counts[name]*rivals > partFactor*t.total
}

// rivalry knows which teams and services fill the queue of each class.
type rivalry struct {
	teams    [describer.ClassCount]*tally[describer.TeamID]
	services [describer.ClassCount]*tally[describer.ServiceID]
}

func newRivalry() rivalry {
	var r rivalry
	for class := range r.teams {
		r.teams[class] = newTally[describer.TeamID]()
		r.services[class] = newTally[describer.ServiceID]()
	}
	return r
}

func (r *rivalry) add(request describer.Request) {
	r.teams[request.Class].add(request.Team)
	r.services[request.Class].add(request.Service)
}

func (r *rivalry) remove(request describer.Request) {
	r.teams[request.Class].remove(request.Team)
	r.services[request.Class].remove(request.Service)
}

func (r *rivalry) exceedsPart(request describer.Request) bool {
	return r.teams[request.Class].exceedsPart(request.Team) || r.services[request.Class].exceedsPart(request.Service)
}
