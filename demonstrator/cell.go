package demonstrator

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/loader"
	"egretring.example/egretring/partitioner"
	"egretring.example/egretring/server"
)

// Entry is one entry instance of a cell.
type Entry struct {
	Instance      describer.InstanceID
	Zone          describer.AvailabilityZoneID
	Daemon        *server.Daemon
	CallerAddress string
}

// Cell is a whole cell on loopback sockets: entry instances, backend servers and the platform's services. It is safe
// for concurrent use.
type Cell struct {
	topology Topology
	network  *partitioner.Network
	platform *platform
	ledger   *fakebackend.Ledger
	backends []*fakebackend.ListeningServer
	servers  []describer.BackendServer
	logger   *slog.Logger
	seed     uint64

	mu      sync.Mutex
	entries []*Entry
	// processes are the entry instances that run as separate processes.
	processes []describer.Instance
	isolated  map[describer.AvailabilityZoneID]bool
}

// CellOptions are the options of a cell.
type CellOptions struct {
	Topology Topology
	Seed     uint64
	// Logs receives the log lines of the daemons; nil drops them.
	Logs io.Writer
	// BackendOptions holds further options of the backend servers.
	BackendOptions []fakebackend.Option
	// WithoutEntries starts no entry instances; AddProcess adds those that run as separate processes.
	WithoutEntries bool
}

// NewCell starts the stand-ins and the entry instances of a cell.
func NewCell(options CellOptions) (*Cell, error) {
	network := partitioner.New()
	services, err := newPlatform(options.Topology, network)
	if err != nil {
		return nil, err
	}
	c := &Cell{
		topology: options.Topology, network: network, platform: services,
		ledger: fakebackend.NewLedger(), seed: options.Seed, logger: slog.New(slog.DiscardHandler),
		isolated: make(map[describer.AvailabilityZoneID]bool),
	}
	if options.Logs != nil {
		c.logger = slog.New(slog.NewJSONHandler(options.Logs, nil))
	}
	if err := c.startBackends(options.BackendOptions); err != nil {
		c.Close()
		return nil, err
	}
	if options.WithoutEntries {
		c.publish()
		return c, nil
	}
	if err := c.startEntries(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cell) startBackends(options []fakebackend.Option) error {
	for _, zone := range c.topology.Zones {
		for i := range zone.BackendServers {
			if err := c.startBackend(zone, i, options); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cell) startBackend(zone ZoneTopology, number int, options []fakebackend.Option) error {
	id := describer.BackendServerID(fmt.Sprintf("%s-server-%02d", zone.ID, number+1))
	all := append([]fakebackend.Option{
		fakebackend.WithSeed(c.seed + uint64(len(c.backends))),
		fakebackend.WithSlots(c.topology.Slots),
		fakebackend.WithConnections(c.topology.Connections),
		fakebackend.WithCapacity(c.topology.Capacity),
		fakebackend.WithLedger(c.ledger),
	}, options...)
	running, err := fakebackend.New(id, all...).Listen(loopback)
	if err != nil {
		return errors.Wrap(err, "start backend server")
	}
	c.network.Register(running.Address(), zone.ID)
	c.backends = append(c.backends, running)
	c.servers = append(c.servers, describer.BackendServer{
		ID: id, AvailabilityZone: zone.ID, Address: running.Address(), State: describer.Live,
		Rack:     describer.RackID(fmt.Sprintf("%s-rack-%d", zone.ID, number/zone.ServersPerRack+1)),
		Capacity: c.topology.Capacity,
	})
	return nil
}

func (c *Cell) startEntries() error {
	for _, zone := range c.topology.Zones {
		for i := range zone.Instances {
			if _, err := c.StartEntry(zone.ID, fmt.Sprintf("%s-entry-%d", zone.ID, i+1)); err != nil {
				return err
			}
		}
	}
	c.publish()
	return nil
}

// StartEntry starts an entry instance in a zone.
func (c *Cell) StartEntry(zone describer.AvailabilityZoneID, name string) (*Entry, error) {
	daemon, err := server.New(c.settings(zone, name),
		server.WithLogger(c.logger), server.WithSeed(c.seed), server.WithDial(c.network.Dialer(zone)))
	if err != nil {
		return nil, errors.Wrapf(err, "start entry instance %s", name)
	}
	addresses := daemon.Addresses()
	for _, address := range []string{addresses.Callers, addresses.Operators, addresses.Relay, addresses.Peers} {
		c.network.Register(address, zone)
	}
	entry := &Entry{
		Instance: describer.InstanceID(name), Zone: zone, Daemon: daemon, CallerAddress: addresses.Callers,
	}
	daemon.Start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, entry)
	return entry, nil
}

func (c *Cell) settings(zone describer.AvailabilityZoneID, name string) loader.Settings {
	store, list := c.Platform()
	return loader.Settings{
		Instance: name, AvailabilityZone: string(zone), Zones: c.topology.ZoneIDs(),
		Listeners:         loader.Listeners{Callers: loopback, Operators: loopback, Peers: loopback, Relay: loopback},
		Store:             store,
		InstanceList:      list,
		MaxRequestBytes:   1 << 20,
		DefaultTimeout:    30 * time.Second,
		MaxTimeout:        time.Minute,
		DrainTimeout:      20 * time.Second,
		IdempotencyWindow: 10 * time.Minute,
		ListInterval:      500 * time.Millisecond,
		LogLevel:          "Info",
	}
}

// setServerState changes the state of a backend server in the instance list.
func (c *Cell) setServerState(index int, state describer.ServerState) {
	c.mu.Lock()
	c.servers[index] = c.servers[index].WithState(state)
	c.mu.Unlock()
	c.publish()
}

// publish sets the content of the instance list to all running entry instances and all backend servers.
func (c *Cell) publish() {
	c.mu.Lock()
	listing := lister.Listing{BackendServers: slices.Clone(c.servers)}
	c.mu.Unlock()
	c.mu.Lock()
	listing.Instances = slices.Clone(c.processes)
	c.mu.Unlock()
	for _, entry := range c.Entries() {
		addresses := entry.Daemon.Addresses()
		listing.Instances = append(listing.Instances, describer.Instance{
			ID: entry.Instance, AvailabilityZone: entry.Zone,
			PeerAddress: addresses.Peers, OperatorAddress: addresses.Operators, RelayAddress: addresses.Relay,
		})
	}
	c.platform.list.Set(listing)
}

// AddProcess adds an entry instance that runs as a separate process to the instance list. It replaces an instance with
// the same name.
func (c *Cell) AddProcess(instance describer.Instance) {
	c.mu.Lock()
	c.processes = slices.DeleteFunc(c.processes, func(known describer.Instance) bool { return known.ID == instance.ID })
	c.processes = append(c.processes, instance)
	c.mu.Unlock()
	c.publish()
}

// Platform returns the base URLs of the store and of the instance list.
func (c *Cell) Platform() (store, list string) {
	return "http://" + c.platform.storeAddress, "http://" + c.platform.listAddress
}

// Ledger returns the record of the requests and tasks that ran on the backend servers.
func (c *Cell) Ledger() *fakebackend.Ledger {
	return c.ledger
}

// Entries returns the running entry instances.
func (c *Cell) Entries() []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.entries)
}

// isolate cuts a zone off from all others and from the platform, or connects it again.
func (c *Cell) isolate(zone describer.AvailabilityZoneID, isolated bool) {
	c.mu.Lock()
	c.isolated[zone] = isolated
	c.mu.Unlock()
	c.network.Isolate(zone, isolated)
}

// reachableFrom returns the entry instances that callers of a zone can reach.
func (c *Cell) reachableFrom(zone describer.AvailabilityZoneID) []*Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reachable []*Entry
	for _, entry := range c.entries {
		if entry.Zone == zone || !c.isolated[zone] && !c.isolated[entry.Zone] {
			reachable = append(reachable, entry)
		}
	}
	return reachable
}

// Kill stops an entry instance immediately, without a drain.
func (c *Cell) Kill(entry *Entry) error {
	c.remove(entry)
	return errors.Wrapf(entry.Daemon.Stop(), "kill %s", entry.Instance)
}

// Drain stops an entry instance gracefully.
func (c *Cell) Drain(ctx context.Context, entry *Entry) error {
	c.remove(entry)
	return errors.Wrapf(entry.Daemon.Drain(ctx), "drain %s", entry.Instance)
}

func (c *Cell) remove(entry *Entry) {
	c.mu.Lock()
	c.entries = slices.DeleteFunc(c.entries, func(e *Entry) bool { return e == entry })
	c.mu.Unlock()
	c.publish()
}

// Close stops the entry instances, the backend servers and the platform's services.
func (c *Cell) Close() {
	for _, entry := range c.Entries() {
		if err := entry.Daemon.Stop(); err != nil {
			c.logger.Error("entry instance did not stop cleanly", "Error", err.Error())
		}
	}
	for _, backend := range c.backends {
		_ = backend.Close()
	}
	c.platform.close()
}
