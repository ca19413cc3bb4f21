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

// member is one entry instance. Its calls block while it is paused and are sent when it resumes, however late that is.
type member struct {
	*fakekeeper.Store
	cell      *cell
	zone      describer.AvailabilityZoneID
	address   string
	registrar *registrar.Registrar
	scheduler *scheduler.Scheduler

	mu          sync.Mutex
	crashed     bool
	partitioned bool
	paused      chan struct{}
}

func (m *member) isCrashed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.crashed
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

func (m *member) setPartitioned(partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned = partitioned
}

// stop ends the member like a crash of its process.
func (m *member) stop() {
	m.resume()
	m.mu.Lock()
	crashed := m.crashed
	m.crashed = true
	m.mu.Unlock()
	if !crashed {
		_ = m.scheduler.Stop()
		_ = m.registrar.Close()
	}
}

func (m *member) waitWhilePaused() {
	m.mu.Lock()
	paused := m.paused
	m.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// checkReachable blocks while the member is paused, and fails while the member is partitioned from the store.
func (m *member) checkReachable() error {
	m.waitWhilePaused()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.partitioned || m.crashed {
		return keeper.ErrUnavailable
	}
	return nil
}

// Get implements keeper.Store.
func (m *member) Get(ctx context.Context, key string) (keeper.Entry, error) {
	if err := m.checkReachable(); err != nil {
		return keeper.Entry{}, err
	}
	return m.Store.Get(ctx, key)
}

// List implements keeper.Store.
func (m *member) List(ctx context.Context, prefix string) (keeper.Page, error) {
	if err := m.checkReachable(); err != nil {
		return keeper.Page{}, err
	}
	return m.Store.List(ctx, prefix)
}

// Put implements keeper.Store.
func (m *member) Put(ctx context.Context, options keeper.PutOptions) (keeper.Entry, error) {
	if err := m.checkReachable(); err != nil {
		return keeper.Entry{}, err
	}
	return m.Store.Put(ctx, options)
}

// Watch implements keeper.Store.
func (m *member) Watch(ctx context.Context, prefix string, after int64) (keeper.Changes, error) {
	if err := m.checkReachable(); err != nil {
		return keeper.Changes{}, err
	}
	return m.Store.Watch(ctx, prefix, after)
}

// Grant implements keeper.Store.
func (m *member) Grant(ctx context.Context, timeToLive time.Duration) (keeper.LeaseID, error) {
	if err := m.checkReachable(); err != nil {
		return 0, err
	}
	return m.Store.Grant(ctx, timeToLive)
}

// Delete implements keeper.Store.
func (m *member) Delete(ctx context.Context, key string, version int64) error {
	if err := m.checkReachable(); err != nil {
		return err
	}
	return m.Store.Delete(ctx, key, version)
}

// Renew implements keeper.Store.
func (m *member) Renew(ctx context.Context, id keeper.LeaseID) error {
	if err := m.checkReachable(); err != nil {
		return err
	}
	return m.Store.Renew(ctx, id)
}

// Heartbeat implements registrar.Messenger.
func (m *member) Heartbeat(
	ctx context.Context, address string, heartbeat messenger.Heartbeat,
) (messenger.HeartbeatReply, error) {
	m.waitWhilePaused()
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
	m.waitWhilePaused()
	peer, err := m.cell.peer(address)
	if err != nil {
		return messenger.ReleaseReply{}, err
	}
	return peer.registrar.Release(ctx, release)
}

func (m *member) connect(server describer.BackendServer) forwarder.TaskServer {
	return &serverConnection{member: m, id: server.ID, server: m.cell.backends[server.ID]}
}

// serverConnection is a member's connection to a backend server.
type serverConnection struct {
	member *member
	id     describer.BackendServerID
	server *fakebackend.Server
}

// checkReachable blocks while the member is paused, and fails when the member has crashed or the backend server is
// down.
func (p *serverConnection) checkReachable() error {
	p.member.waitWhilePaused()
	if p.member.isCrashed() || p.member.cell.isDown(p.id) {
		return forwarder.ErrNoResponse
	}
	return nil
}

// delayResponse delays the response of a slow backend server, which has carried out the call, beyond the caller's
// timeout.
func (p *serverConnection) delayResponse(ctx context.Context, err error) error {
	if !p.member.cell.isSlow(p.id) {
		return err
	}
	select {
	case <-ctx.Done():
		return forwarder.ErrNoResponse
	case <-time.After(slowResponse):
		return err
	}
}

// slowResponse is longer than the timeout of any call to a backend server.
const slowResponse = 3 * time.Second

// Usage implements forwarder.TaskServer.
func (p *serverConnection) Usage(ctx context.Context) (forwarder.UsageReport, error) {
	if err := p.checkReachable(); err != nil {
		return forwarder.UsageReport{}, err
	}
	report, err := p.server.Usage(ctx)
	return report, p.delayResponse(ctx, err)
}

// Start implements forwarder.TaskServer.
func (p *serverConnection) Start(ctx context.Context, call forwarder.StartCall) error {
	if err := p.checkReachable(); err != nil {
		return err
	}
	return p.delayResponse(ctx, p.server.Start(ctx, call))
}

// Renew implements forwarder.TaskServer.
func (p *serverConnection) Renew(ctx context.Context, call forwarder.RenewCall) (forwarder.RenewReply, error) {
	if err := p.checkReachable(); err != nil {
		return forwarder.RenewReply{}, err
	}
	response, err := p.server.Renew(ctx, call)
	return response, p.delayResponse(ctx, err)
}

// Stop implements forwarder.TaskServer.
func (p *serverConnection) Stop(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.checkReachable(); err != nil {
		return err
	}
	return p.delayResponse(ctx, p.server.Stop(ctx, call))
}

// Checkpoint implements forwarder.TaskServer.
func (p *serverConnection) Checkpoint(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.checkReachable(); err != nil {
		return err
	}
	return p.delayResponse(ctx, p.server.Checkpoint(ctx, call))
}

// Throttle implements forwarder.TaskServer.
func (p *serverConnection) Throttle(ctx context.Context, call forwarder.TaskCall) error {
	if err := p.checkReachable(); err != nil {
		return err
	}
	return p.delayResponse(ctx, p.server.Throttle(ctx, call))
}
