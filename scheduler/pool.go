package scheduler

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/describer"
)

const (
	// poolWorkers bounds the calls to backend servers at a time. A backend server occupies at most one worker.
	poolWorkers = 128
	// laneCapacity bounds the calls that wait for one backend server. Further ones are dropped: the starter sends
	// starts and stops again, and renews leases periodically.
	laneCapacity = 1024
	// readyCapacity bounds the backend servers that wait for a worker.
	readyCapacity = 1 << 14
)

// call is one call to a backend server. It is not sent after its deadline, because the starter reckons with leases
// that end a fixed time after it gave the command.
type call struct {
	server   describer.BackendServerID
	deadline time.Time
	run      func(ctx context.Context)
}

// lane holds the calls of one backend server, which are made one after the other: a stop never overtakes its start.
type lane struct {
	waiting *buffer.Ring[call]
	active  bool
}

// pool makes calls to backend servers with a bounded number of workers.
type pool struct {
	ready *buffer.Queue[*lane]

	mu    sync.Mutex
	lanes map[describer.BackendServerID]*lane
}

func newPool() *pool {
	return &pool{
		ready: buffer.NewQueue[*lane](readyCapacity),
		lanes: make(map[describer.BackendServerID]*lane),
	}
}

// submit queues a call without waiting and reports whether there was room.
func (p *pool) submit(c call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lanes[c.server]
	if l == nil {
		l = &lane{waiting: buffer.NewRing[call](laneCapacity)}
		p.lanes[c.server] = l
	}
	if !l.waiting.Push(c) {
		return false
	}
	return p.activate(l)
}

// activate queues a lane for a worker unless it has one.
func (p *pool) activate(l *lane) bool {
	if l.active {
		return true
	}
	l.active = p.ready.Offer(l) == nil
	return l.active
}

// work makes calls until the context ends.
func (p *pool) work(ctx context.Context) error {
	for {
		select {
		case l := <-p.ready.Items():
			p.serve(ctx, l)
		case <-ctx.Done():
			return nil
		}
	}
}

// serve makes the next call of a lane, and then lets other lanes go first.
func (p *pool) serve(ctx context.Context, l *lane) {
	p.mu.Lock()
	next, ok := l.waiting.Pop()
	p.mu.Unlock()
	if ok && time.Now().Before(next.deadline) {
		limited, cancel := context.WithDeadline(ctx, next.deadline)
		next.run(limited)
		cancel()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l.active = false
	if l.waiting.Len() > 0 {
		p.activate(l)
	}
}
