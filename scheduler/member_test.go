package scheduler_test

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/messenger"
	"egretring.example/egretring/registrar"
	"egretring.example/egretring/scheduler"
)

// member is one entry instance. While it is paused its calls wait, and go out when it wakes, however late that is.
type member struct {
	*fakekeeper.Store
	cell      *cell
	zone      describer.AvailabilityZoneID
	address   string
	registrar *registrar.Registrar
	scheduler *scheduler.Scheduler

	mu     sync.Mutex
	dead   bool
	cut    bool
	paused chan struct{}
}

func (m *member) isDead() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dead
}

func (m *member) pause() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused == nil {
		m.paused = make(chan struct{})
	}
}

func (m *member) resume() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
	}
}

func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

// stop ends the member like the death of its process.
func (m *member) stop() {
	m.resume()
	m.mu.Lock()
	dead := m.dead
	m.dead = true
	m.mu.Unlock()
	if !dead {
		_ = m.scheduler.Stop()
		_ = m.registrar.Close()
	}
}

func (m *member) wait() {
	m.mu.Lock()
	paused := m.paused
	m.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// reach waits while the member is paused, and fails while it is cut off from the store.
func (m *member) reach() error {
	m.wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut || m.dead {
		return keeper.ErrUnavailable
	}
	return nil
}

// Get implements keeper.Store.
func (m *member) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := m.reach(); err != nil {
		return keeper.Entry{}, err
	}
	return m.Store.Get(ctx, key)
}

// List implements keeper.Store.
func (m *member) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if err := m.reach(); err != nil {
		return keeper.Page{}, err
	}
	return m.Store.List(ctx, prefix)
}

// Put implements keeper.Store.
func (m *member) Put(ctx context.Context, options keeper.PutOptions) (keeper.Entry, error) {
	if err := m.reach(); err != nil {
		return keeper.Entry{}, err
	}
	return m.Store.Put(ctx, options)
}

// Watch implements keeper.Store.
func (m *member) Watch(ctx context.Context, prefix string, after int64) (keeper.Changes, error) {
	if err := m.reach(); err != nil {
		return keeper.Changes{}, err
	}
	return m.Store.Watch(ctx, prefix, after)
}

// Grant implements keeper.Store.
func (m *member) Grant(ctx context.Context, timeToLive time.Duration) (keeper.LeaseID, error) {
	if err := m.reach(); err != nil {
		return 0, err
	}
	return m.Store.Grant(ctx, timeToLive)
}

// Delete implements keeper.Store.
func (m *member) Delete(ctx context.Context, key string, version int64) error {
	if err := m.reach(); err != nil {
		return err
	}
	return m.Store.Delete(ctx, key, version)
}

// Renew implements keeper.Store.
func (m *member) Renew(ctx context.Context, id keeper.LeaseID) error {
	if err := m.reach(); err != nil {
		return err
	}
	return m.Store.Renew(ctx, id)
}

// Heartbeat implements registrar.Messenger.
func (m *member) Heartbeat(
	ctx context.Context, address string, heartbeat messenger.Heartbeat,
) (messenger.HeartbeatReply, error) {
	m.wait()
	peer, err := m.cell.peer(address)
	if err != nil {
		return messenger.HeartbeatReply{}, err
	}
	return peer.registrar.Heartbeat(ctx, heartbeat)
}

// Release implements registrar.Messenger.
func (m *member) Release(
	ctx context.Context, address string, release messenger.Release,
) (messenger.ReleaseReply, error) {
	m.wait()
	peer, err := m.cell.peer(address)
	if err != nil {
		return messenger.ReleaseReply{}, err
	}
	return peer.registrar.Release(ctx, release)
}

func (m *member) connect(server describer.BackendServer) forwarder.TaskServer {
	return &path{member: m, id: server.ID, server: m.cell.backends[server.ID]}
}

// path is the way from a member to a backend server.
type path struct {
	member *member
	id     describer.BackendServerID
	server *fakebackend.Server
}

func (p *path) reach() error {
	p.member.wait()
	if p.member.isDead() || p.member.cell.isDown(p.id) {
		return forwarder.ErrNoAnswer
	}
	return nil
}

// answer delays the answer of a slow backend server, which has carried out the call, beyond the limit of the caller.
func (p *path) answer(ctx context.Context, err error) error {
	if !p.member.cell.isSlow(p.id) {
		return err
	}
	select {
	case <-ctx.Done():
		return forwarder.ErrNoAnswer
	case <-time.After(slowAnswer):
		return err
	}
}

// slowAnswer is longer than any call to a backend server may take.
const slowAnswer = 3 * time.Second

// Usage implements forwarder.TaskServer.
func (p *path) Usage(ctx context.Context) (forwarder.UsageReport, error) {
	if err := p.reach(); err != nil {
		return forwarder.UsageReport{}, err
	}
	report, err := p.server.Usage(ctx)
	return report, p.answer(ctx, err)
}

// Start implements forwarder.TaskServer.
func (p *path) Start(ctx context.Context, call forwarder.StartCall) error {
	if err := p.reach(); err != nil {
		return err
	}
	return p.answer(ctx, p.server.Start(ctx, call))
}

// Renew implements forwarder.TaskServer.
func (p *path) Renew(ctx context.Context, call forwarder.RenewCall) (forwarder.RenewReply, error) {
	if err := p.reach(); err != nil {
		return forwarder.RenewReply{}, err
	}
	reply, err := p.server.Renew(ctx, call)
	return reply, p.answer(ctx, err)
}

// Stop implements forwarder.TaskServer.
func (p *path) Stop(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.reach(); err != nil {
		return err
	}
	return p.answer(ctx, p.server.Stop(ctx, call))
}

// Checkpoint implements forwarder.TaskServer.
func (p *path) Checkpoint(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.reach(); err != nil {
		return err
	}
	return p.answer(ctx, p.server.Checkpoint(ctx, call))
}

// Throttle implements forwarder.TaskServer.
func (p *path) Throttle(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.reach(); err != nil {
		return err
	}
	return p.answer(ctx, p.server.Throttle(ctx, call))
}
