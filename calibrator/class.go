package calibrator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"egretring.example/egretring/specifier"
)

const (
	// minSpread is the ratio of the 90th to the 10th percentile of the speeds from which on speeds take effect, as the specification states.
	// They do until the ratio is below endSpread, so that noise does not change the placement back and forth.
	minSpread = 1.5
	endSpread = 1.4
	// earlySpread is the ratio from which on speeds take effect although they are known from earlyEnds ends only. That of equal servers
	// was up to 1.6 then (TestEqualServersHaveNoClass).
	earlySpread = 2.0
	earlyEnds   = 4
	// minClassShare is the part of the servers that are fast, and that are slow, at least. A few servers in trouble do not make all others
	// fast.
	minClassShare = 0.15
	// classMargin is how far the logarithmic speed must be beyond the limit between the classes to change a known class.
	classMargin = 0.08
)

// Class is a group of servers of similar speed.
type Class int8

// The classes of servers. The class of a server is Unknown while speeds do not differ clearly, or its speed is not known well.
const (
	Unknown Class = iota
	Slow
	Fast
)

var classNames = [...]string{"unknown", "slow", "fast"}

// String returns the name of the class.
func (c Class) String() string {
	return classNames[c]
}

// Speed is what is known about the speed of a server.
type Speed struct {
	Class Class
	// Factor is the speed relative to the average of the known servers, and Deviation the standard deviation of its logarithm.
	Factor    float64
	Deviation float64
	// Ends is the number of ends that the estimate uses.
	Ends int
	// Since is when the server got its class.
	Since time.Time
}

// Change is a change of the class of a server.
type Change struct {
	Server specifier.ServerID
	Before Class
	Speed
}

// spread is by how much the known speeds differ.
type spread struct {
	inEffect bool
	// ratio is that of the 90th to the 10th percentile, and known the number of known speeds.
	ratio float64
	known int
	// limit is the logarithmic speed between the classes, and slow and fast are the means of the classes.
	limit, slow, fast float64
}

// InEffect reports whether the speeds differ enough to take effect.
func (c *Calibrator) InEffect() bool {
	return c.spread.inEffect
}

// Spread returns the ratio of the 90th to the 10th percentile of the known speeds, and the number of known speeds.
func (c *Calibrator) Spread() (ratio float64, known int) {
	return c.spread.ratio, c.spread.known
}

// ClassFactors returns the mean speeds of slow and fast servers, relative to the average. They are 1 while speeds do not take effect.
func (c *Calibrator) ClassFactors() (slow, fast float64) {
	if !c.spread.inEffect {
		return 1, 1
	}
	return math.Exp(c.spread.slow), math.Exp(c.spread.fast)
}

// Of returns what is known about the speed of a server.
func (c *Calibrator) Of(id specifier.ServerID) Speed {
	s := c.servers[id]
	if s == nil {
		return Speed{Factor: 1, Deviation: math.Inf(1)}
	}
	return s.describe()
}

func (s *server) describe() Speed {
	return Speed{Class: s.class, Factor: math.Exp(s.speed), Deviation: s.deviation, Ends: len(s.ends), Since: s.since}
}

// TakeChanges returns the changes of classes since the last call, in the order of the servers' IDs within each estimate.
func (c *Calibrator) TakeChanges() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// classify finds out whether speeds differ, and the class of each server.
func (c *Calibrator) classify(now time.Time) {
	c.spread = c.compare()
	first := len(c.changes)
	for _, s := range c.ordered {
		class := c.spread.classOf(s)
		if class == s.class {
			continue
		}
		before := s.class
		s.class, s.since = class, now
		c.changes = append(c.changes, Change{Server: s.id, Before: before, Speed: s.describe()})
	}
	slices.SortFunc(c.changes[first:], func(a, b Change) int { return cmp.Compare(a.Server, b.Server) })
}

// compare returns the spread of the speeds. They are compared once half of the servers with ends are known well, or earlier if they differ
// by more. Speeds that are in effect are compared even when fewer are known.
func (c *Calibrator) compare() spread {
	inEffect := c.spread.inEffect
	required := minSpread
	speeds := c.speedsKnownFrom(minEnds, maxDeviation)
	if float64(len(speeds)) < minKnownShare*float64(len(c.ordered)) {
		required = earlySpread
		speeds = c.speedsKnownFrom(earlyEnds, maxClassDeviation)
	}
	if inEffect {
		required = endSpread
	}
	n := len(speeds)
	if n < minServers || !inEffect && float64(n) < minKnownShare*float64(len(c.ordered)) {
		return spread{known: n, ratio: 1}
	}
	found := spread{known: n, ratio: math.Exp(speeds[(n-1)*9/10] - speeds[(n-1)/10])}
	found.inEffect = found.ratio >= required
	found.split(speeds)
	return found
}

// split divides sorted speeds so that the variance within the two classes is lowest.
func (s *spread) split(speeds []float64) {
	total := 0.0
	for _, speed := range speeds {
		total += speed
	}
	n, lowest := len(speeds), max(1, int(minClassShare*float64(len(speeds))))
	below, best := 0.0, math.Inf(-1)
	for i, speed := range speeds[:n-lowest] {
		below += speed
		count := i + 1
		if count < lowest {
			continue
		}
		slow, fast := below/float64(count), (total-below)/float64(n-count)
		if between := float64(count) * float64(n-count) * (fast - slow) * (fast - slow); between > best {
			best, s.slow, s.fast = between, slow, fast
		}
	}
	s.limit = (s.slow + s.fast) / 2
}

// classOf returns the class of a server. A class that is known changes only when the speed is clearly beyond the limit.
func (s spread) classOf(of *server) Class {
	if !s.inEffect || of.deviation > maxClassDeviation {
		return Unknown
	}
	limit := s.limit
	switch of.class {
	case Fast:
		limit -= classMargin
	case Slow:
		limit += classMargin
	}
	switch {
	case of.class == Unknown && math.Abs(of.speed-limit) < of.deviation:
		return Unknown
	case of.speed >= limit:
		return Fast
	default:
		return Slow
	}
}
