package measurer

import (
	"fmt"
	"math/rand/v2"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
)

const (
	loadInterval = 500 * time.Millisecond
	// loadReportMaxAge is how long the last load report of a peer is used.
	loadReportMaxAge = 3 * loadInterval
	// maxDrainTime bounds the wait for the last responses. It is longer than the longest timeout of a request.
	maxDrainTime = 6 * time.Minute
	// balancerStream is the random stream of the load balancer, which keeps its choices independent of other users of
	// the seed.
	balancerStream = 0x62616c
)

// requestCell runs the request path of one cell in virtual time: callers, a load balancer, one dispatcher for each
// entry instance, and backend servers.
type requestCell struct {
	*eventQueue
	topology  requestTopology
	load      requestLoad
	arrivals  *generator.Generator
	balancer  *rand.Rand
	instances []*entryInstance
	servers   map[describer.BackendServerID]*fakebackend.State
	ledger    *fakebackend.Ledger
	tally     *requestTally
	lastID    describer.RequestID
	// unanswered is the number of requests whose callers have no response yet.
	unanswered int
	// exhausted is set when the generator has no more arrivals.
	exhausted bool
}

// runRequests simulates a load and returns its figures.
func runRequests(topology requestTopology, load requestLoad, variant requestVariant, seed uint64) (*requestTally, error) {
	generated := load.generate(topology)
	arrivals, err := generator.New(generated, seed, generator.WithStart(epochStart))
	if err != nil {
		return nil, err
	}
	c := &requestCell{
		eventQueue: newEventQueue(), topology: topology, load: load, arrivals: arrivals,
		balancer: rand.New(rand.NewPCG(seed, balancerStream)),
		servers:  make(map[describer.BackendServerID]*fakebackend.State),
		ledger:   fakebackend.NewLedger(), tally: &requestTally{},
	}
	c.addServers(seed)
	for zone, members := range topology.instances {
		for member := range members {
			c.addInstance(zone, member, seed, servicesOf(generated), variant.options)
		}
	}
	c.scheduleFault()
	c.nextArrival()
	c.runUntil(epochStart.Add(requestDuration+maxDrainTime), func() bool { return c.exhausted && c.unanswered == 0 })
	c.checkGuarantees()
	return c.tally, nil
}

func (c *requestCell) addServers(seed uint64) {
	for zone := range c.topology.instances {
		for i, id := range c.topology.serversOf(zone) {
			c.servers[id] = fakebackend.NewState(id, fakebackend.WithSeed(seed+uint64(i)),
				fakebackend.WithSlots(slotsPerServer), fakebackend.WithLedger(c.ledger), fakebackend.WithUsageLag(0))
		}
	}
}

func (c *requestCell) addInstance(zone, member int, seed uint64, services dispatcher.ServicesChanged, options []dispatcher.Option) {
	number := len(c.instances)
	options = append([]dispatcher.Option{dispatcher.WithSeed(seed*100 + uint64(number))}, options...)
	i := &entryInstance{
		cell: c, zone: zone, live: true,
		id:         describer.InstanceID(fmt.Sprintf("i%d", number)),
		dispatcher: dispatcher.New(options...),
		requests:   make(map[describer.RequestID]*instanceRequest),
		attempts:   make(map[attemptKey]*attempt),
		reports:    make(map[describer.InstanceID]peerReport),
	}
	c.instances = append(c.instances, i)
	shares := c.topology.sharesOf(zone, member)
	i.slots = slotsOf(shares)
	var listed []describer.BackendServer
	for _, id := range c.topology.serversOf(zone) {
		listed = append(listed, describer.BackendServer{ID: id, State: describer.Live})
	}
	i.handle(services)
	i.handle(dispatcher.BackendServersChanged{Servers: listed})
	i.handle(dispatcher.SharesChanged{Shares: shares})
	phase := loadInterval * time.Duration(number) / time.Duration(total(c.topology.instances))
	c.after(phase, func() {
		i.report()
		c.every(loadInterval, i.report)
	})
}

func total(counts []int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// delay returns the one-way delay between two instances.
func (c *requestCell) delay(a, b *entryInstance) time.Duration {
	if a.zone == b.zone {
		return zoneDelay
	}
	return c.topology.betweenZone
}

// nextArrival schedules the next request of the generator.
func (c *requestCell) nextArrival() {
	arrival, ok := c.arrivals.Next()
	if !ok {
		c.exhausted = true
		return
	}
	c.after(epochStart.Add(arrival.Offset).Sub(c.now), func() {
		c.send(arrival)
		c.nextArrival()
	})
}

// send sends a request of a caller through the load balancer.
func (c *requestCell) send(arrival generator.Arrival) {
	c.lastID++
	c.unanswered++
	call := &callerRequest{arrival: arrival, id: c.lastID, sentAt: c.now}
	c.tally.send(call)
	entry := c.balance()
	if entry == nil {
		c.answerNotRun(call)
		return
	}
	home := c.homeOf(arrival, entry)
	oneWayDelay := c.topology.toCaller
	if home != entry {
		oneWayDelay += c.delay(entry, home)
	}
	call.returnDelay = oneWayDelay
	request := arrival.Request(call.id, epochStart)
	request.Relayed = home != entry
	c.after(oneWayDelay, func() { home.arrive(call, request, nil) })
	if arrival.CancelAfter > 0 {
		c.after(arrival.CancelAfter+oneWayDelay, func() { home.handle(dispatcher.RequestCancelled{ID: call.id}) })
	}
}

// balance picks a random live instance, or nil if all have failed. The health checks of the load balancer are assumed
// to detect a failed instance immediately.
func (c *requestCell) balance() *entryInstance {
	var liveInstances []*entryInstance
	for _, i := range c.instances {
		if i.live {
			liveInstances = append(liveInstances, i)
		}
	}
	if len(liveInstances) == 0 {
		return nil
	}
	return liveInstances[c.balancer.IntN(len(liveInstances))]
}

// homeOf returns the instance that runs a request: an instance of the home zone of its idempotency key, or without a
// key the instance where it arrived.
func (c *requestCell) homeOf(arrival generator.Arrival, entry *entryInstance) *entryInstance {
	if arrival.Key == "" {
		return entry
	}
	var homes []*entryInstance
	for _, i := range c.instances {
		if c.zoneName(i) == arrival.AvailabilityZone {
			homes = append(homes, i)
		}
	}
	return homes[int(c.lastID)%len(homes)]
}

func (c *requestCell) zoneName(i *entryInstance) describer.AvailabilityZoneID {
	return c.topology.load().AvailabilityZones[i.zone]
}

func (c *requestCell) answerNotRun(call *callerRequest) {
	c.answerCaller(call, fakebackend.OutcomeNotRun)
}

// answerCaller ends a request with the outcome that its caller receives. Later outcomes are ignored.
func (c *requestCell) answerCaller(call *callerRequest, callerOutcome fakebackend.CallerOutcome) {
	if call.ended {
		return
	}
	call.ended = true
	c.unanswered--
	c.ledger.RecordOutcome(call.arrival.ID, callerOutcome)
	c.tally.end(c.now, call, callerOutcome)
}

// checkGuarantees completes the tally after the last request and counts the broken guarantees.
func (c *requestCell) checkGuarantees() {
	c.tally.computeQuantiles()
	violations := c.ledger.Violations()
	c.tally.lost = violations.Lost + c.unanswered
	c.tally.doubled = violations.DoubledKeys
	c.tally.ranAfterNotRun = violations.RunAfterNotRun
	for _, server := range c.servers {
		c.tally.overCapacity += int(server.Counters().SlotsExceeded)
	}
}
