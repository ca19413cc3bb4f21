package calibrator

import (
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// solveInterval is the minimum time between two estimates of all speeds, which take about a millisecond for 175 servers. The users'
	// jobs run for half a second and more.
	solveInterval = 500 * time.Millisecond
	// sweepsPerUpdate is the number of iterations of an estimate. Each begins with the results of the one before, so that the speeds converge over a
	// few intervals.
	sweepsPerUpdate = 2
	// maxDeviation is the standard deviation of a logarithmic speed up to which it counts in the comparison of all speeds, and minEnds the
	// number of ends from which on it does. With fewer ends, the errors of the other speeds add to that of a server, and the 90th
	// percentile of equal servers exceeds the 10th by a factor of up to 1.5.
	maxDeviation = 0.12
	minEnds      = 8
	// maxClassDeviation is the standard deviation up to which a server gets a class: the users' fast and slow servers are 0.44 from the
	// limit between them, which is nearly three standard deviations.
	maxClassDeviation = 0.16
	// minServers is the number of servers with known speeds from which on percentiles are compared, and minKnownShare the part of the
	// servers with ends whose speeds must be known.
	minServers    = 10
	minKnownShare = 0.5
	// shortestRun is the run time below which delays of messages dominate.
	shortestRun = 50 * time.Millisecond
)

// Calibrator estimates the speeds of the servers of one owner.
type Calibrator struct {
	servers map[specifier.ServerID]*server
	// ordered has the servers in a fixed order, so that sums do not depend on that of a map.
	ordered []*server
	steps   map[specifier.StepID]*step
	queues  map[string]*queue
	// solveNotBefore is the earliest time of the next estimate, and changed is set if there have been ends since the last one.
	solveNotBefore time.Time
	changed        bool
	// sweeps counts the sweeps.
	sweeps  int
	spread  spread
	changes []Change
}

// New returns a Calibrator that knows no speeds.
func New() *Calibrator {
	return &Calibrator{
		servers: make(map[specifier.ServerID]*server), steps: make(map[specifier.StepID]*step), queues: make(map[string]*queue),
	}
}

// Observe records the end of a run.
func (c *Calibrator) Observe(now time.Time, o Observation) {
	if o.Run < shortestRun || o.Estimate <= 0 {
		return
	}
	s := c.servers[o.Server]
	if s == nil {
		s = c.add(o.Server)
	}
	e := end{step: c.step(o), run: math.Log(o.Run.Seconds()), at: now, trust: 1}
	e.step.ends++
	if dropped, ok := s.add(e); ok {
		c.drop(dropped)
	}
	c.changed = true
}

func (c *Calibrator) add(id specifier.ServerID) *server {
	s := &server{id: id, deviation: math.Inf(1)}
	c.servers[id] = s
	c.ordered = append(c.ordered, s)
	return s
}

func (c *Calibrator) step(o Observation) *step {
	known := c.steps[o.Step]
	if known != nil {
		return known
	}
	q := c.queue(o.Queue)
	created := &step{id: o.Step, queue: q, estimate: math.Log(o.Estimate.Seconds())}
	c.steps[o.Step] = created
	return created
}

func (c *Calibrator) queue(name string) *queue {
	known := c.queues[name]
	if known == nil {
		known = &queue{}
		c.queues[name] = known
	}
	return known
}

func (c *Calibrator) drop(e end) {
	e.step.ends--
	if e.step.ends == 0 {
		delete(c.steps, e.step.id)
	}
}

// Forget discards what is known about a server that has restarted, changed its kind or left.
func (c *Calibrator) Forget(id specifier.ServerID) {
	s := c.servers[id]
	if s == nil {
		return
	}
	for _, e := range s.ends {
		c.drop(e)
	}
	delete(c.servers, id)
	c.ordered = slices.DeleteFunc(c.ordered, func(other *server) bool { return other == s })
	c.changed = true
}

// ObserveGang records the run of a whole gang, which takes as long as that of its slowest member. Speed is that of the slowest server. It says
// nothing about the speeds, but how much longer than estimated gangs of the queue take.
func (c *Calibrator) ObserveGang(queueName string, estimate, run time.Duration, speed float64) {
	if run < shortestRun || estimate <= 0 || speed <= 0 {
		return
	}
	q := c.queue(gangsOf(queueName))
	q.biasSum, q.biasWeight = math.Log(run.Seconds()/estimate.Seconds()*speed), 1
	q.estimateBias()
}

// gangsOf returns the name under which the gangs of a queue are known.
func gangsOf(queueName string) string {
	return queueName + "/gangs"
}

// Update estimates the speeds anew if there were ends and the last estimate is old enough. It reports whether it did.
func (c *Calibrator) Update(now time.Time) bool {
	if !c.changed || now.Before(c.solveNotBefore) {
		return false
	}
	c.changed, c.solveNotBefore = false, now.Add(solveInterval)
	for _, s := range c.ordered {
		s.setWeights(now)
	}
	for range sweepsPerUpdate {
		c.sweep()
	}
	c.classify(now)
	return true
}

// sweep estimates the work of the steps from the speeds, and then the speeds from the work.
func (c *Calibrator) sweep() {
	c.sweeps++
	var added []*step
	for _, s := range c.ordered {
		added = s.addToSteps(c.sweeps, added)
	}
	for _, st := range added {
		st.addToQueue()
	}
	for _, q := range c.queues {
		q.estimateBias()
	}
	total, known := 0.0, 0
	for _, s := range c.ordered {
		s.update()
		if s.knownFrom(earlyEnds, maxClassDeviation) {
			total += s.speed
			known++
		}
	}
	if known == 0 {
		return
	}
	for _, s := range c.ordered {
		s.speed -= total / float64(known)
	}
}

// speedsKnownFrom returns the logarithmic speeds that are known from a number of ends and with a standard deviation, in increasing order.
func (c *Calibrator) speedsKnownFrom(ends int, deviation float64) []float64 {
	speeds := make([]float64, 0, len(c.servers))
	for _, s := range c.ordered {
		if s.knownFrom(ends, deviation) {
			speeds = append(speeds, s.speed)
		}
	}
	slices.Sort(speeds)
	return speeds
}

// Correction returns the factor by which the run times of a queue's tasks, or of its gangs, at the average speed exceed their estimates.
func (c *Calibrator) Correction(queueName string, gang bool) float64 {
	if gang {
		queueName = gangsOf(queueName)
	}
	if q := c.queues[queueName]; q != nil && c.spread.inEffect {
		return math.Exp(q.bias)
	}
	return 1
}
