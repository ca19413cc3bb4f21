package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"egretring.example/egretring/deduplicator"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/router"
	"egretring.example/egretring/runner"
	"egretring.example/egretring/tracer"
)

// shutdownTimeout limits how long Stop waits for the export of the last spans.
const shutdownTimeout = time.Second

// connect creates the clients of the configuration store, of the instance list and of the peers. It leaves a client of
// the store or of the list as it is when an option has set it.
func (d *Daemon) connect() {
	d.http = &http.Client{Transport: &http.Transport{DialContext: d.dial}}
	d.control = newControlClient(d.dial)
	if d.store == nil {
		d.store = keeper.NewClient(d.settings.Store, d.http)
	}
	if d.list == nil {
		client := lister.NewClient(d.settings.InstanceList, d.http)
		d.list = lister.NewCache(client, d.settings.ListInterval*9/10)
	}
	options := []messenger.Option{
		messenger.WithLogger(d.logger),
		messenger.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
			return d.dialInstance(ctx, "tcp", address)
		}),
	}
	d.messages = messenger.NewClient(options...)
	// A report that takes too long closes its connection. Reports therefore do not share a connection with heartbeats.
	d.reports = messenger.NewClient(options...)
}

func (d *Daemon) compose() {
	d.tracer = tracer.New(d.logger, d.settings.Instance, d.settings.TraceRatio)
	if d.exporter != nil {
		d.tracer = tracer.NewWithExporter(d.exporter, d.settings.TraceRatio)
	}
	d.self = describer.Instance{
		ID:               describer.InstanceID(d.settings.Instance),
		AvailabilityZone: describer.AvailabilityZoneID(d.settings.AvailabilityZone),
		Incarnation:      describer.Incarnation(time.Now().UnixNano()),
	}
	d.membership = newMembership(d)
	d.distributor = distributor.New(d.store, distributor.WithInstance(d.self.ID), distributor.WithLogger(d.logger),
		distributor.WithSeed(d.seed), distributor.WithPeers(d.membership.peerSources))
	d.observer = newObserver(d)
	d.tasks = newTasks(d)
	d.dispatcher = dispatcher.New(dispatcher.WithSeed(d.seed))
	d.runner = runner.New(d.dispatcher, runner.WithMayStart(d.membership.mayStart), runner.WithMeter(d.meter))
	d.held = &heldSlots{usage: d.usage, freed: d.runner.Notify}
	d.exchanger = forwarder.New(forwarder.WithPropagator(d.tracer.Propagator()), forwarder.WithDial(d.dial))
	relays := forwarder.New(forwarder.WithPropagator(d.tracer.Propagator()), forwarder.WithDial(d.dialInstance))
	exchange := exchangers{servers: d.exchanger, instances: relays}
	d.router = router.New(d.self.ID, services{d.distributor}, d.runner, exchange, d.directory,
		router.WithMeter(d.meter), router.WithTracer(d.tracer), router.WithHomes(d.membership.homes.homes),
		router.WithLeavingHook(d.membership.leaving.add), router.WithHeldHook(d.held.add),
		router.WithEndHook(d.observer.RecentRequests.Add))
}

func newMembership(d *Daemon) *membership {
	m := &membership{daemon: d}
	zones := make([]describer.AvailabilityZoneID, len(d.settings.Zones))
	for i, zone := range d.settings.Zones {
		zones[i] = describer.AvailabilityZoneID(zone)
	}
	records := deduplicator.New(deduplicator.WithRetryWindow(d.settings.IdempotencyWindow))
	m.homes.homes = router.NewHomes(d.self.ID, d.self.AvailabilityZone, zones, records, m.zonePeer)
	m.homes.zone, m.homes.zones = d.self.AvailabilityZone, zones
	return m
}

func (d *Daemon) listen() error {
	options := handler.CallerOptions{
		MaxRequestBytes: d.settings.MaxRequestBytes,
		DefaultTimeout:  d.settings.DefaultTimeout,
		MaxTimeout:      d.settings.MaxTimeout,
	}
	routes := newRequestPolicy(d.router, d.distributor)
	d.tracked = newTracker(handler.NewCallerHandler(routes, options, d.logger))
	options.Relayed = true
	d.relayed = newTracker(handler.NewCallerHandler(routes, options, d.logger))
	var err error
	if d.callers, err = listen("callers", d.settings.Listeners.Callers, d.tracked, serverConfig(d.identities.callers)); err != nil {
		return err
	}
	internal := serverConfig(d.identities.internal)
	if d.relay, err = listen("relay", d.settings.Listeners.Relay, d.relayed, internal); err != nil {
		return err
	}
	if d.operators, err = listen("operators", d.settings.Listeners.Operators, d.operatorHandler(), internal); err != nil {
		return err
	}
	d.peers, err = net.Listen("tcp", d.settings.Listeners.Peers)
	return err
}

// operatorHandler serves the operators' API, the metrics and the health check of the instance.
func (d *Daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", d.meter.Handler())
	mux.HandleFunc("/healthz", d.serveHealth)
	views := append(d.taskViews(), reporter.WithInstance(d.self.ID), reporter.WithInstances(d.observer),
		reporter.WithZones(d.observer), reporter.WithServers(d.observer), reporter.WithServices(d.observer),
		reporter.WithReasons(d.observer))
	mux.Handle("/", d.requireWriter(handler.NewOperatorHandler(reporter.New(d.distributor, views...))))
	return mux
}

// serveHealth responds to the health check of the load balancer. The check fails while the instance drains or is not
// ready.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.Ready(0) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// join registers the instance in its zone and starts serving the messages of its peers.
func (d *Daemon) join() {
	d.self.PeerAddress = d.peers.Addr().String()
	d.self.OperatorAddress = d.operators.address()
	d.self.RelayAddress = d.relay.address()
	member := registrar.New(d.self, d.store, d.list, d.messages, d.membership.options()...)
	d.membership.registrar.Store(member)
	d.served = messenger.Serve(d.peers, member, messenger.WithLogger(d.logger),
		messenger.WithTLS(serverConfig(d.identities.internal)))
}

// Stop stops the daemon immediately and closes all connections, including those with requests in flight.
func (d *Daemon) Stop() error {
	d.closeListeners()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	stops := []func() error{
		d.tasks.Stop, d.membership.close, d.runner.Stop, d.distributor.Stop, d.messages.Close, d.reports.Close,
		func() error { return d.tracer.Shutdown(ctx) },
		func() error {
			d.tomb.Kill(nil)
			return d.tomb.Wait()
		},
	}
	var first error
	for _, stop := range stops {
		if err := stop(); first == nil {
			first = err
		}
	}
	return first
}

func (d *Daemon) closeListeners() {
	for _, open := range []*listener{d.callers, d.relay, d.operators} {
		if open != nil {
			open.close()
		}
	}
	if d.served != nil {
		_ = d.served.Close()
	} else if d.peers != nil {
		_ = d.peers.Close()
	}
}
