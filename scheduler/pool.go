package scheduler

import (
	"context"
	"sync"
	"time"

	"egretring.example/egretring/buffer"
	"egretring.example/egretring/describer"
)

const (
	// poolWorkers bounds the concurrent calls to backend servers. A backend server occupies at most one worker.
	poolWorkers = 128
	// serverQueueCapacity bounds the calls that wait for one backend server. Further ones are dropped: the starter
	// retries starts and stops, and renews leases periodically.
	serverQueueCapacity = 1024
	// readyCapacity bounds the backend servers that wait for a worker.
	readyCapacity = 1 << 14
)

// call is one call to a backend server. It is not sent after its deadline, because the starter relies on leases that
// end a fixed time after it issued the command.
type call struct {
	server   describer.BackendServerID
	deadline time.Time
	run      func(ctx context.Context)
}

// serverQueue holds the calls to one backend server. They are made one after the other, so that a stop never overtakes
// the start of the same attempt.
type serverQueue struct {
	waiting *buffer.Ring[call]
	// active is true while the queue waits for a worker or is being served by one.
	active bool
}

// pool makes calls to backend servers with a bounded number of workers.
type pool struct {
	ready *buffer.Queue[*serverQueue]

	mu     sync.Mutex
	queues map[describer.BackendServerID]*serverQueue
}

func newPool() *pool {
	return &pool{
		ready:  buffer.NewQueue[*serverQueue](readyCapacity),
		queues: make(map[describer.BackendServerID]*serverQueue),
	}
}

// submit queues a call without blocking and reports whether there was capacity for it.
func (p *pool) submit(c call) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.queues[c.server]
	if q == nil {
		q = &serverQueue{waiting: buffer.NewRing[call](serverQueueCapacity)}
		p.queues[c.server] = q
	}
	if !q.waiting.Push(c) {
		return false
	}
	return p.activate(q)
}

// activate makes a queue wait for a worker unless it does so already or has one. It reports whether the queue is
// active.
func (p *pool) activate(q *serverQueue) bool {
	if q.active {
		return true
	}
	q.active = p.ready.Offer(q) == nil
	return q.active
}

// work is the loop of one worker: it makes calls until the context ends.
func (p *pool) work(ctx context.Context) error {
	for {
		select {
		case q := <-p.ready.Items():
			p.serve(ctx, q)
		case <-ctx.Done():
			return nil
		}
	}
}

// serve makes the next call of a queue and then puts the queue behind the others that wait for a worker.
func (p *pool) serve(ctx context.Context, q *serverQueue) {
	p.mu.Lock()
	next, ok := q.waiting.Pop()
	p.mu.Unlock()
	if ok && time.Now().Before(next.deadline) {
		limited, cancel := context.WithDeadline(ctx, next.deadline)
		next.run(limited)
		cancel()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	q.active = false
	if q.waiting.Len() > 0 {
		p.activate(q)
	}
}
