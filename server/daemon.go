package server

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/distributor"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/router"
	"egretring.example/egretring/runner"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/tracer"
)

// Daemon is one entry instance.
type Daemon struct {
	settings loader.Settings
	logger   *slog.Logger
	exporter sdktrace.SpanExporter
	dial     forwarder.Dial
	seed     uint64
	store    keeper.Store
	list     lister.List

	tomb        tomb.Tomb
	meter       *meter.Meter
	tracer      *tracer.Tracer
	directory   *router.Directory
	distributor *distributor.Distributor
	runner      *runner.Runner
	router      *router.Router
	membership  fixedMembership
	listing     lister.Listing
	listings    chan lister.Listing
	// serving is true once the instance has had shares of backend servers.
	serving atomic.Bool

	callers   *listener
	relay     *listener
	operators *listener
	tracked   *tracker
}

// New composes a daemon and binds its listeners.
func New(settings loader.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:  settings,
		logger:    slog.New(slog.DiscardHandler),
		seed:      rand.Uint64(),
		dial:      new(net.Dialer).DialContext,
		meter:     meter.New(),
		directory: router.NewDirectory(),
		listings:  make(chan lister.Listing, 1),
	}
	for _, option := range options {
		option(d)
	}
	d.connect()
	d.compose()
	return d, d.listen()
}

// connect creates the clients of the platform that no option has replaced.
func (d *Daemon) connect() {
	client := &http.Client{Transport: &http.Transport{DialContext: d.dial}}
	if d.store == nil {
		d.store = keeper.NewClient(d.settings.Store, client)
	}
	if d.list == nil {
		d.list = lister.NewClient(d.settings.InstanceList, client)
	}
}

func (d *Daemon) compose() {
	d.tracer = tracer.New(d.logger, d.settings.Instance, d.settings.TraceRatio)
	if d.exporter != nil {
		d.tracer = tracer.NewWithExporter(d.exporter, d.settings.TraceRatio)
	}
	instance := describer.InstanceID(d.settings.Instance)
	d.membership = fixedMembership{self: describer.Instance{
		ID: instance, AvailabilityZone: describer.AvailabilityZoneID(d.settings.AvailabilityZone),
	}}
	d.distributor = distributor.New(d.store, distributor.WithInstance(instance),
		distributor.WithLogger(d.logger), distributor.WithSeed(d.seed))
	d.runner = runner.New(dispatcher.New(dispatcher.WithSeed(d.seed)),
		runner.WithRight(d.membership.MayStart), runner.WithMeter(d.meter))
	exchanger := forwarder.New(forwarder.WithPropagator(d.tracer.Propagator()), forwarder.WithDial(d.dial))
	d.router = router.New(instance, services{d.distributor}, d.runner, exchanger, d.directory,
		router.WithMeter(d.meter), router.WithTracer(d.tracer))
}

func (d *Daemon) listen() error {
	options := handler.CallerOptions{
		MaxRequestBytes: d.settings.MaxRequestBytes,
		DefaultTimeout:  d.settings.DefaultTimeout,
		MaxTimeout:      d.settings.MaxTimeout,
	}
	d.tracked = newTracker(handler.NewCaller(d.router, options, d.logger))
	options.Relayed = true
	relayed := handler.NewCaller(d.router, options, d.logger)
	var err error
	if d.callers, err = listen("callers", d.settings.Listeners.Callers, d.tracked, nil); err != nil {
		return err
	}
	if d.relay, err = listen("relay", d.settings.Listeners.Relay, relayed, nil); err != nil {
		return err
	}
	d.operators, err = listen("operators", d.settings.Listeners.Operators, d.meter.Handler(), nil)
	return err
}

// Start starts the goroutines of the daemon.
func (d *Daemon) Start() {
	d.distributor.Start()
	d.runner.Start()
	ctx := d.tomb.Context(context.Background())
	read := &poller{
		list: d.list, interval: d.settings.ListInterval, logger: d.logger, meter: d.meter, onList: d.offerListing,
	}
	d.tomb.Go(func() error { return read.run(ctx) })
	d.tomb.Go(func() error { return d.follow(ctx) })
	d.callers.start(&d.tomb)
	d.relay.start(&d.tomb)
	d.operators.start(&d.tomb)
	d.logger.Info("entry instance started", "Instance", d.settings.Instance, "Callers", d.callers.address())
}

// Addresses returns the bound addresses.
func (d *Daemon) Addresses() loader.Listeners {
	return loader.Listeners{
		Callers:   d.callers.address(),
		Operators: d.operators.address(),
		Relay:     d.relay.address(),
	}
}

func (d *Daemon) offerListing(listing lister.Listing) {
	select {
	case <-d.listings:
	default:
	}
	d.listings <- listing
}

// follow gives the changes of the configuration and of the instance list to the request path.
func (d *Daemon) follow(ctx context.Context) error {
	subscription := d.distributor.Subscribe()
	defer subscription.Close()
	for {
		select {
		case state := <-subscription.States():
			d.meter.Set(meter.TicketApplied, state.Applied())
			d.runner.Notify(dispatcher.ServicesChanged{Services: state.Services()})
		case d.listing = <-d.listings:
			d.directory.SetServers(d.listing.BackendServers)
			d.directory.SetPeers(d.listing.Instances)
			d.runner.Notify(dispatcher.BackendServersChanged{Servers: d.listing.BackendServers})
		case <-ctx.Done():
			return nil
		}
		d.notifyShares()
	}
}

func (d *Daemon) notifyShares() {
	state, err := d.distributor.State()
	if err != nil {
		return
	}
	for _, service := range state.Services() {
		shares := d.membership.shares(d.listing, service.SlotsPerBackendServer, service.ConnectionsPerBackendServer)
		d.runner.Notify(dispatcher.SharesChanged{Shares: shares})
		d.serving.Store(len(shares) > 0)
		return
	}
}

// Drain stops accepting requests, lets those in flight end, and stops the daemon. When the context ends first, it logs
// what was left and breaks the remaining connections.
func (d *Daemon) Drain(ctx context.Context) error {
	d.logger.Info("entry instance is draining", "Instance", d.settings.Instance)
	err := d.callers.drain(ctx)
	if err == nil {
		err = d.relay.drain(ctx)
	}
	if err != nil {
		d.logger.Error("requests were left in flight", "Requests", d.tracked.remaining())
	}
	return errors.Wrap(errors.Wrap(d.Stop(), "stop daemon"), "drain")
}

// Stop ends the daemon at once and breaks all connections.
func (d *Daemon) Stop() error {
	d.callers.close()
	d.relay.close()
	d.operators.close()
	err := d.runner.Stop()
	if stopErr := d.distributor.Stop(); err == nil {
		err = stopErr
	}
	d.tomb.Kill(nil)
	if stopErr := d.tomb.Wait(); err == nil {
		err = stopErr
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if stopErr := d.tracer.Shutdown(ctx); err == nil {
		err = stopErr
	}
	return err
}

// ApplyTicket accepts a ticket and returns its number.
func (d *Daemon) ApplyTicket(ctx context.Context, ticket ticketer.Ticket) (int64, error) {
	return d.distributor.Accept(ctx, ticket)
}

// Configured reports whether the instance knows the configuration.
func (d *Daemon) Configured() bool {
	_, err := d.distributor.State()
	return err == nil
}

// Ready reports whether the instance serves requests with at least the given ticket applied.
func (d *Daemon) Ready(ticket int64) bool {
	state, err := d.distributor.State()
	return err == nil && state.Applied() >= ticket && d.serving.Load()
}
