package demonstrator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/generator"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/timekeeper"
)

const (
	// startTimeout bounds the wait until the entry instances are ready and the first ticket is in force.
	startTimeout = 15 * time.Second
	drainTimeout = 10 * time.Second
	// demoUtilization is the share of the slots that the load keeps busy outside the load swing.
	demoUtilization = 0.4
	// demoTimeScale multiplies the run times. Longer requests need fewer arrivals for the same utilization, so that one
	// process can run the callers as well as the cell.
	demoTimeScale = 3
	// longestMedian and longestTimeout bound the median run time and the timeout of all kinds, so that the stragglers
	// of the long kinds end within a demo.
	longestMedian  = 700 * time.Millisecond
	longestTimeout = 8 * time.Second
	demoListLag    = 3 * time.Second
	queueLimit     = 2000
)

// Options are the options of a demo.
type Options struct {
	Deployment string
	Seed       uint64
	// Duration is the length of the load.
	Duration time.Duration
	// Progress receives a line for each fault; nil drops them.
	Progress io.Writer
	// Logs receives the log lines of the daemons; nil drops them.
	Logs io.Writer
}

// demo is the state of one run.
type demo struct {
	options Options
	cell    *Cell
	tally   *tally
	load    generator.Load
	events  []string
	tasks   taskTally

	leaving      *fakebackend.ListeningServer
	failedDrains atomic.Int64
}

// Run runs a whole cell under load and faults and returns the counts of the stand-ins and callers.
func Run(ctx context.Context, options Options) (Result, error) {
	topology, err := TopologyNamed(options.Deployment)
	if err != nil {
		return Result{}, err
	}
	topology.ListLag = demoListLag
	cell, err := NewCell(CellOptions{Topology: topology, Seed: options.Seed, Logs: options.Logs})
	if err != nil {
		return Result{}, err
	}
	defer cell.Close()
	d := &demo{options: options, cell: cell, tally: &tally{ledger: cell.ledger}, load: loadOf(options, topology)}
	if err := d.configure(ctx); err != nil {
		return Result{}, err
	}
	if err := d.startTasks(ctx); err != nil {
		return Result{}, err
	}
	return d.run(ctx)
}

func loadOf(options Options, topology Topology) generator.Load {
	load := generator.Tumbonas()
	if topology.Name == "hronov" {
		load = generator.Hronov()
	}
	slots := 0
	for _, zone := range topology.Zones {
		slots += zone.BackendServers * topology.Slots
	}
	length := options.Duration
	load = load.WithTimeScale(demoTimeScale)
	for i := range load.Kinds {
		kind := &load.Kinds[i]
		kind.RunTime.Median = min(kind.RunTime.Median, longestMedian)
		kind.Timeout = min(kind.Timeout, longestTimeout)
	}
	return load.WithUtilization(demoUtilization, slots).WithDuration(length).
		WithLoadSwings(generator.LoadSwing{From: length / 5, Rise: time.Second, Hold: length / 5, Fall: time.Second, Factor: 3}).
		WithCancellationBursts(generator.CancellationBurst{At: length * 3 / 10, Window: time.Second, Share: 0.3})
}

// configure applies the first ticket, which adds the service, and waits until all instances serve requests.
func (d *demo) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	service := describer.Service{
		ID:                          d.load.Service,
		SlotsPerBackendServer:       d.cell.topology.Slots,
		ConnectionsPerBackendServer: d.cell.topology.Connections,
		QueueLimit:                  queueLimit,
		Kinds:                       make(map[describer.KindID]describer.Kind),
	}
	for _, kind := range d.load.Kinds {
		service.Kinds[kind.ID] = describer.Kind{
			Class: kind.Class, ExpectedMilliseconds: max(1, kind.RunTime.Median.Milliseconds()),
		}
	}
	ticket := ticketer.Ticket{ID: "demo-1", Services: map[describer.ServiceID]*describer.Service{service.ID: &service}}
	return d.cell.Apply(ctx, ticket)
}

func (d *demo) run(ctx context.Context) (Result, error) {
	arrivals, err := generator.New(d.load, d.options.Seed, generator.WithStart(time.Now()))
	if err != nil {
		return Result{}, errors.Wrap(err, "prepare load")
	}
	before := d.cell.platform.store.Calls()
	started := time.Now()
	var running sync.WaitGroup
	running.Go(func() { d.injectFaults(ctx, started) })
	watched, stopWatching := context.WithCancel(ctx)
	var watching sync.WaitGroup
	watching.Go(func() { d.watchTasks(watched) })
	d.send(ctx, arrivals, started, &running)
	running.Wait()
	stopWatching()
	watching.Wait()
	d.countAtEnd(ctx)
	return d.result(before, time.Since(started)), ctx.Err()
}

// send starts each request at its time.
func (d *demo) send(ctx context.Context, arrivals *generator.Generator, started time.Time, running *sync.WaitGroup) {
	sender := newCallers(d.cell, d.tally)
	for arrival := range arrivals.All() {
		if !timekeeper.Sleep(ctx, time.Until(started.Add(arrival.Offset))) {
			return
		}
		running.Go(func() { sender.serve(ctx, arrival) })
	}
}

func (d *demo) injectFaults(ctx context.Context, started time.Time) {
	for _, step := range faultSchedule() {
		at := time.Duration(step.at * float64(d.options.Duration))
		if !timekeeper.Sleep(ctx, time.Until(started.Add(at))) {
			return
		}
		line := fmt.Sprintf("%6.1f s: %s", at.Seconds(), step.text)
		if err := step.apply(d); err != nil {
			line += ": " + err.Error()
		}
		d.events = append(d.events, line)
		if d.options.Progress != nil {
			fmt.Fprintln(d.options.Progress, line)
		}
	}
}
