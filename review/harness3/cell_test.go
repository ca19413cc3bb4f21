//go:build review

package harness3

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"time"

	"egretring.example/egretring/fakekeeper"
	"egretring.example/egretring/keeper"
)

// The figures of the small deployments.
const (
	contactTime  = 3 * time.Second
	configTime   = 2 * time.Second
	heartbeat    = 1500 * time.Millisecond
	storeDelay   = 4 * time.Millisecond
	maximumLease = 10 * time.Second
	host         = "cell.example"
	serviceName  = "s"
)

// cell is a deployment with stand-ins for its platform.
type cell struct {
	program string
	folder  string
	record  *record
	trouble bool
	store   *fakekeeper.Transactional
	ctx     context.Context
	cancel  context.CancelFunc

	instances []*instance
	workers   []*worker
	servers   []*httptest.Server
	links     []*link
	running   sync.WaitGroup

	mu sync.Mutex
	// cores are those of a task of each job.
	cores map[string]int64
}

func (c *cell) coresOf(id string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cores[id]
}

func newCell(program, recordPath string, trouble bool) (*cell, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	c := &cell{program: program, folder: folder, record: r, trouble: trouble, store: fakekeeper.NewTransactional(), cores: make(map[string]int64)}
	c.store.SetFaults(fakekeeper.Faults{Delay: storeDelay})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c, nil
}

// close ends all processes that the script has started.
func (c *cell) close() {
	for _, i := range c.instances {
		i.kill()
	}
	c.cancel()
	for _, l := range c.links {
		l.close()
	}
	for _, s := range c.servers {
		s.CloseClientConnections()
	}
	c.record.close()
	_ = os.RemoveAll(c.folder)
}

func (c *cell) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.servers = append(c.servers, server)
	return server.Listener.Addr().String()
}

func (c *cell) link(target string) (*link, error) {
	l, err := newLink("127.0.0.1:0", target)
	if err == nil {
		c.links = append(c.links, l)
	}
	return l, err
}

// route is a queue in the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	Prefix      string  `json:"prefix"`
	Service     string  `json:"service"`
	Priority    int     `json:"priority"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	AimMS       int64   `json:"target_latency_ms"`
}

func routeOf(name string) route {
	return route{Name: name, Host: host, Prefix: "/" + name + "/", Service: serviceName, MaxAttempts: 3, Stretch: 4, AimMS: 1000}
}

// configure writes a configuration, and returns when the store has confirmed it.
func (c *cell) configure(version int, names ...string) (time.Time, error) {
	routes := make([]route, 0, len(names))
	for _, name := range names {
		routes = append(routes, routeOf(name))
	}
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": []any{map[string]any{"name": serviceName, "enforces_capacity": false}},
		"limits": map[string]any{"max_body_bytes": 262144, "max_header_bytes": 16384},
	})
	if err != nil {
		return time.Time{}, err
	}
	_, err = c.store.Commit(c.ctx, keeper.Transaction{Writes: []keeper.Write{{Key: "op/config", Value: value}}})
	confirmedAt := time.Now()
	c.record.line("operator: version %d with the routes %v is confirmed", version, names)
	return confirmedAt, err
}

// start starts the workers and instances, waits until the instances are ready, and for a while more, as traffic does.
func (c *cell) start(instances, workers int) error {
	if _, err := c.configure(1, "a"); err != nil {
		return err
	}
	for n := range workers {
		w, err := c.addWorker(fmt.Sprintf("w%d", n), fmt.Sprintf("z%d", n%3))
		if err != nil {
			return err
		}
		c.record.line("worker %s listens on %s in %s", w.id, w.address, w.zone)
	}
	for n := range instances {
		i, err := c.newInstance(fmt.Sprintf("front-%d", n+1), fmt.Sprintf("z%d", n%3))
		if err != nil {
			return err
		}
		c.instances = append(c.instances, i)
	}
	for _, i := range c.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range c.instances {
			if i.ready() {
				ready++
			}
		}
		if ready == len(c.instances) {
			break
		}
		if time.Now().After(deadline) {
			return errors.New("the instances do not become ready")
		}
	}
	for _, i := range c.instances {
		c.running.Go(i.probe)
	}
	time.Sleep(3 * time.Second)
	c.record.line("all instances are ready")
	return nil
}
