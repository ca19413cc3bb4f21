package registrar_test

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/fakelister"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lister"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/registrar"
)

const (
	serverCount = 6
	serverSlots = 8
	settleTime  = 15 * time.Second
)

// zone runs the registrars of one availability zone over an in-memory network.
type zone struct {
	t     *testing.T
	store *fakekeeper.Store
	list  *fakelister.List

	mu    sync.Mutex
	all   []*node
	nodes map[string]*node
}

// node is one incarnation of an instance. A paused node receives no responses and sends none.
type node struct {
	*registrar.Registrar
	keeper.Store
	zone  *zone
	owner assigner.Owner

	mu          sync.Mutex
	failed      bool
	unreachable bool
	paused      chan struct{}
	shares      registrar.Shares
	busy        map[describer.BackendServerID]int
}

func newZone(t *testing.T, instances int) *zone {
	z := &zone{t: t, store: fakekeeper.New(), nodes: make(map[string]*node)}
	var listing lister.Listing
	for i := range serverCount {
		id := describer.BackendServerID(fmt.Sprintf("backend-%d", i))
		listing.BackendServers = append(listing.BackendServers, describer.BackendServer{ID: id, AvailabilityZone: "hala-a"})
	}
	z.list = fakelister.New(listing)
	for i := range instances {
		z.start(i, 1)
	}
	return z
}

func (z *zone) start(index int, incarnation describer.Incarnation) *node {
	address := fmt.Sprintf("address-%d", index)
	self := describer.Instance{
		ID: describer.InstanceID(fmt.Sprintf("entry-%d", index)), AvailabilityZone: "hala-a",
		Incarnation: incarnation, PeerAddress: address,
	}
	n := &node{
		Store: z.store, zone: z, busy: make(map[describer.BackendServerID]int),
		owner: assigner.Owner{Instance: self.ID, Incarnation: incarnation},
	}
	n.Registrar = registrar.New(self, n, z.list, n,
		registrar.WithBusySlots(n.countBusy), registrar.WithUsage(z.usage), registrar.WithShares(n.setShares),
		registrar.WithLoad(func() registrar.Load { return registrar.Load{FreeSlots: 10 + index} }),
		registrar.WithAppliedTicket(func() int64 { return int64(100 + index) }),
		registrar.WithLogger(slog.New(slog.DiscardHandler)))
	z.mu.Lock()
	z.nodes[address] = n
	z.all = append(z.all, n)
	z.mu.Unlock()
	return n
}

func (z *zone) started() []*node {
	z.mu.Lock()
	defer z.mu.Unlock()
	return slices.Clone(z.all)
}

func (n *node) setShares(shares registrar.Shares) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shares = shares
}

func (n *node) countBusy() assigner.BusyChanged {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted := assigner.BusyChanged{Shares: n.shares.Version}
	for id, slots := range n.busy {
		counted.Busy = append(counted.Busy, assigner.ServerBusy{BackendServer: id, Slots: slots})
	}
	return counted
}

func (n *node) setBusy(id describer.BackendServerID, slots int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy[id] = slots
}

// waitWhilePaused blocks while the node is paused.
func (n *node) waitWhilePaused() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused)
	n.paused = nil
}

// Renew implements keeper.Store.
func (n *node) Renew(ctx context.Context, id keeper.LeaseID) error {
	n.waitWhilePaused()
	return n.Store.Renew(ctx, id)
}

// Get implements keeper.Store.
func (n *node) Get(ctx context.Context, key string) (keeper.Entry, error) {
	n.waitWhilePaused()
	return n.Store.Get(ctx, key)
}

func (n *node) call(address string) (*node, error) {
	n.waitWhilePaused()
	n.zone.mu.Lock()
	peer := n.zone.nodes[address]
	n.zone.mu.Unlock()
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.failed && !peer.unreachable {
		return nil, messenger.ErrRefused
	}
	if peer.failed || peer.paused != nil {
		return nil, messenger.ErrNoResponse
	}
	return peer, nil
}

// Heartbeat implements registrar.Messenger.
func (n *node) Heartbeat(
	ctx context.Context, address string, heartbeat messenger.Heartbeat,
) (messenger.HeartbeatReply, error) {
	peer, err := n.call(address)
	if err != nil {
		return messenger.HeartbeatReply{}, err
	}
	return peer.Registrar.Heartbeat(ctx, heartbeat)
}

// Release implements registrar.Messenger.
func (n *node) Release(
	ctx context.Context, address string, release messenger.Release,
) (messenger.ReleaseReply, error) {
	peer, err := n.call(address)
	if err != nil {
		return messenger.ReleaseReply{}, err
	}
	return peer.Registrar.Release(ctx, release)
}

func (n *node) fail(unreachable bool) {
	n.mu.Lock()
	n.failed, n.unreachable = true, unreachable
	n.mu.Unlock()
	require.NoError(n.zone.t, n.Close())
}

func (z *zone) usage(_ context.Context, server describer.BackendServer) (assigner.UsageReported, error) {
	report := assigner.UsageReported{BackendServer: server.ID, SampledAt: time.Now(), ByOwner: []assigner.OwnerBusy{}}
	for _, n := range z.started() {
		n.mu.Lock()
		report.BusySlots += n.busy[server.ID]
		report.ByOwner = append(report.ByOwner, assigner.OwnerBusy{Owner: n.owner, Slots: n.busy[server.ID]})
		n.mu.Unlock()
	}
	return report, nil
}

// usable returns the slots of a backend server that the nodes may use or have in use.
func (z *zone) usable(id describer.BackendServerID) int {
	total := 0
	for _, n := range z.all {
		n.mu.Lock()
		share := 0
		for _, known := range n.shares.Changed.Shares {
			if known.BackendServer == id && n.MayStart() {
				share = known.Slots
			}
		}
		total += max(share, n.busy[id])
		n.mu.Unlock()
	}
	return total
}

// advance lets time pass and checks at each step that every backend server has at least the given number of usable
// slots and no more than serverSlots.
func (z *zone) advance(duration time.Duration, minUsable int) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		synctest.Wait()
		for i := range serverCount {
			usable := z.usable(describer.BackendServerID(fmt.Sprintf("backend-%d", i)))
			require.LessOrEqual(z.t, usable, serverSlots, "at %s", time.Now())
			require.GreaterOrEqual(z.t, usable, minUsable, "at %s", time.Now())
		}
	}
}

func (z *zone) close() {
	for _, n := range z.all {
		require.NoError(z.t, n.Close())
	}
}

// run starts a zone under virtual time, waits until all slots are usable, and then runs a test.
func run(t *testing.T, instances int, test func(*zone)) {
	synctest.Test(t, func(t *testing.T) {
		z := newZone(t, instances)
		z.advance(settleTime, 0)
		z.advance(time.Second, serverSlots)
		test(z)
		z.close()
	})
}
