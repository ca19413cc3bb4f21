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
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/observer"
	"egretring.example/egretring/router"
	"egretring.example/egretring/runner"
	"egretring.example/egretring/scheduler"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/tracer"
)

// Daemon runs one entry instance.
type Daemon struct {
	settings loader.Settings
	logger   *slog.Logger
	exporter sdktrace.SpanExporter
	dial     forwarder.Dial
	seed     uint64
	store    keeper.Store
	list     lister.List
	http     *http.Client
	// control is the client for task calls and usage reports.
	control *http.Client

	identities identities

	self        describer.Instance
	tomb        tomb.Tomb
	meter       *meter.Meter
	tracer      *tracer.Tracer
	directory   *router.Directory
	exchanger   *forwarder.Forwarder
	distributor *distributor.Distributor
	tasks       *scheduler.Scheduler
	dispatcher  *dispatcher.Dispatcher
	runner      *runner.Runner
	router      *router.Router
	messages    *messenger.Client
	reports     *messenger.Client
	observer    *observer.Observer
	listing     atomic.Pointer[readListing]
	membership  *membership
	held        *heldSlots
	listings    chan lister.Listing
	// serving is true while the request path owns slots of backend servers that accept work.
	serving  atomic.Bool
	draining atomic.Bool

	peers     net.Listener
	served    *messenger.Listener
	callers   *listener
	relay     *listener
	operators *listener
	tracked   *tracker
	relayed   *tracker
}

// New returns a daemon with bound listeners. It serves nothing before Start.
func New(settings loader.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:  settings,
		logger:    slog.New(slog.DiscardHandler),
		dial:      new(net.Dialer).DialContext,
		seed:      rand.Uint64(),
		meter:     meter.New(),
		directory: router.NewDirectory(),
		listings:  make(chan lister.Listing, 1),
	}
	for _, option := range options {
		option(d)
	}
	var err error
	if d.identities, err = newIdentities(settings.TLS); err != nil {
		return nil, err
	}
	d.connect()
	d.compose()
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	return d, nil
}

// Start starts the goroutines of the daemon.
func (d *Daemon) Start() {
	d.distributor.Start()
	d.runner.Start()
	d.join()
	d.tasks.Start()
	ctx := d.tomb.Context(context.Background())
	listPoller := &poller{
		list: d.list, interval: d.settings.ListInterval, logger: d.logger, meter: d.meter, onList: d.offerListing,
	}
	d.tomb.Go(func() error { return listPoller.run(ctx) })
	d.tomb.Go(func() error { return d.applyChanges(ctx) })
	d.tomb.Go(func() error { return d.held.run(ctx) })
	d.tomb.Go(func() error { return d.reloadCertificates(ctx) })
	d.callers.start(&d.tomb)
	d.relay.start(&d.tomb)
	d.operators.start(&d.tomb)
	d.logger.Info("entry instance started", "Instance", d.self.ID, "Listeners", d.Addresses())
}

// Dying returns a channel that is closed when a goroutine of the daemon has failed, for example a listener.
func (d *Daemon) Dying() <-chan struct{} {
	return d.tomb.Dying()
}

// Addresses returns the bound addresses.
func (d *Daemon) Addresses() loader.Listeners {
	return loader.Listeners{
		Callers:   d.callers.address(),
		Operators: d.operators.address(),
		Peers:     d.peers.Addr().String(),
		Relay:     d.relay.address(),
	}
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

// offerListing passes a listing to applyChanges. It replaces a listing that still waits there.
func (d *Daemon) offerListing(listing lister.Listing) {
	select {
	case <-d.listings:
	default:
	}
	d.listings <- listing
}

// usage returns the usage report of a backend server.
func (d *Daemon) usage(ctx context.Context, server describer.BackendServer) (forwarder.UsageReport, error) {
	return forwarder.NewTaskClient(server.Address, d.control).Usage(ctx)
}

// applyChanges passes changes of the configuration and of the instance list to the request path and to the scheduler.
func (d *Daemon) applyChanges(ctx context.Context) error {
	subscription := d.distributor.Subscribe()
	defer subscription.Close()
	var listing lister.Listing
	for {
		select {
		case state := <-subscription.States():
			d.meter.Set(meter.TicketApplied, state.Applied())
			d.runner.Notify(dispatcher.ServicesChanged{Services: state.Services()})
			d.declareDead(ctx, state)
			d.membership.updateCapacity(state)
		case listing = <-d.listings:
			d.listing.Store(&readListing{Listing: listing, at: time.Now()})
			d.directory.SetServers(listing.BackendServers)
			d.directory.SetPeers(listing.Instances)
			d.membership.limitConnections(d.membership.registrar.Load().Shares())
		case <-ctx.Done():
			return nil
		}
		d.notifyServers(listing)
		d.setTaskServers(listing.BackendServers)
	}
}

// notifyServers passes the zone's backend servers to the request path, with the drained ones marked as leaving.
func (d *Daemon) notifyServers(listing lister.Listing) {
	state, err := d.distributor.State()
	if err != nil {
		return
	}
	var servers []describer.BackendServer
	for _, server := range listing.BackendServers {
		if server.AvailabilityZone != d.self.AvailabilityZone {
			continue
		}
		if state.IsServerDrained(server) && server.State == describer.Live {
			server = server.WithState(describer.Leaving)
		}
		servers = append(servers, server)
	}
	d.runner.NotifyThen(dispatcher.BackendServersChanged{Servers: servers}, d.updateServing)
}

// updateServing sets serving. It runs in the goroutine that owns the dispatcher. Shares alone do not make an instance
// ready: requests that arrive before the dispatcher knows the backend servers are refused.
func (d *Daemon) updateServing() {
	d.serving.Store(d.dispatcher.Load().Slots > 0)
}

// Drain stops accepting requests, waits for those in flight, releases the slots, and stops the daemon. When the context
// ends first, it logs the requests that are still in flight, or that the slots were not released, and closes the
// remaining connections.
func (d *Daemon) Drain(ctx context.Context) error {
	d.draining.Store(true)
	d.logger.Info("entry instance is draining", "Instance", d.self.ID)
	err := d.callers.drain(ctx)
	if err == nil {
		err = d.relay.drain(ctx)
	}
	if err != nil {
		d.logger.Error("requests were left in flight",
			"Requests", d.tracked.remaining(), "Relayed", d.relayed.remaining())
	} else if err = d.membership.leave(ctx); err != nil {
		d.logger.Error("slots were not given up in time; peers take them over later", "Error", err.Error())
	}
	if stopErr := d.Stop(); err == nil {
		err = stopErr
	}
	return errors.Wrap(err, "drain")
}
