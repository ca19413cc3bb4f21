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
	// loadLife is how long a peer's report is used after the last one.
	loadLife = 3 * loadInterval
	// drainTime is longer than the longest timeout of a request.
	drainTime = 6 * time.Minute
	// streamOfBalancer separates the choices of the load balancer from other users of a seed.
	streamOfBalancer = 0x62616c
)

// requestCell runs the request path of one cell in virtual time: callers, a load balancer, one dispatcher for each
// entry instance, and backend servers.
type requestCell struct {
	*agenda
	shape     requestShape
	load      requestLoad
	arrivals  *generator.Generator
	balancer  *rand.Rand
	instances []*entryInstance
	servers   map[describer.BackendServerID]*fakebackend.State
	ledger    *fakebackend.Ledger
	tally     *requestTally
	lastID    describer.RequestID
	open      int
	exhausted bool
}

// runRequests runs a load and returns its figures.
func runRequests(shape requestShape, load requestLoad, variant requestVariant, seed uint64) (*requestTally, error) {
	generated := load.generate(shape)
	arrivals, err := generator.New(generated, seed, generator.WithStart(epochStart))
	if err != nil {
		return nil, err
	}
	c := &requestCell{
		agenda: newAgenda(), shape: shape, load: load, arrivals: arrivals,
		balancer: rand.New(rand.NewPCG(seed, streamOfBalancer)),
		servers:  make(map[describer.BackendServerID]*fakebackend.State),
		ledger:   fakebackend.NewLedger(), tally: &requestTally{},
	}
	c.addServers(seed)
	for zone, members := range shape.instances {
		for member := range members {
			c.addInstance(zone, member, seed, servicesOf(generated), variant.options)
		}
	}
	c.scheduleFault()
	c.nextArrival()
	c.runUntil(epochStart.Add(requestDuration+drainTime), func() bool { return c.exhausted && c.open == 0 })
	c.conclude()
	return c.tally, nil
}

func (c *requestCell) addServers(seed uint64) {
	for zone := range c.shape.instances {
		for i, id := range c.shape.serversOf(zone) {
			c.servers[id] = fakebackend.NewState(id, fakebackend.WithSeed(seed+uint64(i)),
				fakebackend.WithSlots(slotsPerServer), fakebackend.WithLedger(c.ledger), fakebackend.WithUsageLag(0))
		}
	}
}

func (c *requestCell) addInstance(zone, member int, seed uint64, services dispatcher.ServicesChanged, options []dispatcher.Option) {
	number := len(c.instances)
	options = append([]dispatcher.Option{dispatcher.WithSeed(seed*100 + uint64(number))}, options...)
	i := &entryInstance{
		cell: c, zone: zone, alive: true,
		id:         describer.InstanceID(fmt.Sprintf("i%d", number)),
		dispatcher: dispatcher.New(options...),
		stays:      make(map[describer.RequestID]*stay),
		attempts:   make(map[attemptKey]*attempt),
		reports:    make(map[describer.InstanceID]peerReport),
	}
	c.instances = append(c.instances, i)
	shares := c.shape.sharesOf(zone, member)
	i.slots = slotsOf(shares)
	var listed []describer.BackendServer
	for _, id := range c.shape.serversOf(zone) {
		listed = append(listed, describer.BackendServer{ID: id, State: describer.Live})
	}
	i.handle(services)
	i.handle(dispatcher.BackendServersChanged{Servers: listed})
	i.handle(dispatcher.SharesChanged{Shares: shares})
	phase := loadInterval * time.Duration(number) / time.Duration(total(c.shape.instances))
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

func (c *requestCell) delay(a, b *entryInstance) time.Duration {
	if a.zone == b.zone {
		return zoneDelay
	}
	return c.shape.betweenZone
}

// nextArrival schedules the next request of a caller.
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

// send lets a caller send a request through the load balancer.
func (c *requestCell) send(arrival generator.Arrival) {
	c.lastID++
	c.open++
	k := &call{arrival: arrival, id: c.lastID, sentAt: c.now}
	c.tally.send(k)
	entry := c.balance()
	if entry == nil {
		c.tellNotRun(k)
		return
	}
	home := c.homeOf(arrival, entry)
	way := c.shape.toCaller
	if home != entry {
		way += c.delay(entry, home)
	}
	k.wayBack = way
	request := arrival.Request(k.id, epochStart)
	request.Relayed = home != entry
	c.after(way, func() { home.arrive(k, request, nil) })
	if arrival.CancelAfter > 0 {
		c.after(arrival.CancelAfter+way, func() { home.handle(dispatcher.RequestCancelled{ID: k.id}) })
	}
}

// balance picks a random living instance; the health checks of the load balancer are taken as immediate.
func (c *requestCell) balance() *entryInstance {
	var living []*entryInstance
	for _, i := range c.instances {
		if i.alive {
			living = append(living, i)
		}
	}
	if len(living) == 0 {
		return nil
	}
	return living[c.balancer.IntN(len(living))]
}

// homeOf returns the instance that runs a request: the home of its key, or the one where it arrived.
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
	return c.shape.load().AvailabilityZones[i.zone]
}

func (c *requestCell) tellNotRun(k *call) { c.tell(k, fakebackend.ToldNotRun) }

// tell ends a call with what its caller was told.
func (c *requestCell) tell(k *call, told fakebackend.Told) {
	if k.ended {
		return
	}
	k.ended = true
	c.open--
	c.ledger.Tell(k.arrival.ID, told)
	c.tally.end(c.now, k, told)
}

// conclude checks the guarantees after the last request.
func (c *requestCell) conclude() {
	c.tally.conclude()
	verdict := c.ledger.Verdict()
	c.tally.lost = verdict.Lost + c.open
	c.tally.doubled = verdict.DoubledKeys
	c.tally.ranAfterNotRun = verdict.RunAfterNotRun
	for _, server := range c.servers {
		c.tally.overCapacity += int(server.Counters().SlotsExceeded)
	}
}
