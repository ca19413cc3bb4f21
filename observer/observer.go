package observer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/reporter"
)

const (
	// askTimeout bounds the wait for the report of a peer; a partitioned zone delays a view by this time.
	askTimeout = time.Second
	// keepTime is how long reports are used again, so that the parts of one view ask the peers once.
	keepTime = 200 * time.Millisecond
)

// Observer answers the operators' questions about the cell. It is safe for concurrent use.
type Observer struct {
	sources Sources
	// Recent holds the requests that this instance refused or relayed.
	Recent *Recent

	// mu is held while peers are asked, so that concurrent questions share the answers.
	mu   sync.Mutex
	cell cell
}

var (
	_ reporter.InstanceSource = (*Observer)(nil)
	_ reporter.ZoneSource     = (*Observer)(nil)
	_ reporter.ServerSource   = (*Observer)(nil)
	_ reporter.ServiceSource  = (*Observer)(nil)
	_ reporter.ReasonSource   = (*Observer)(nil)
)

// New returns an observer.
func New(sources Sources) *Observer {
	return &Observer{sources: sources, Recent: NewRecent()}
}

// cell is what all instances reported at about one time.
type cell struct {
	at        time.Time
	reports   []Report
	instances []reporter.InstanceView
}

// target is an instance of the instance list or one that sent heartbeats.
type target struct {
	view    reporter.InstanceView
	address string
	// heard is true when a heartbeat arrived a short time ago.
	heard bool
}

// Report returns what this instance knows, with its reasons about something.
func (o *Observer) Report(ctx context.Context, about string) Report {
	report := o.sources.Local(ctx)
	report.Instance.Live = true
	report.Instance.LastHeard = time.Now().UTC()
	if about != "" {
		report.Reasons = o.localReasons(report, about)
	}
	return report
}

// read returns the reports of all instances, which are at most keepTime old.
func (o *Observer) read(ctx context.Context) cell {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.cell.at) > keepTime {
		// Others may use the answers when this operator has left.
		o.cell = o.ask(context.WithoutCancel(ctx), "")
	}
	return o.cell
}

// ask asks all instances for their reports. An instance that does not answer is shown as its heartbeats show it.
func (o *Observer) ask(ctx context.Context, about string) cell {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	targets := o.targets()
	answers := make([]*Report, len(targets))
	var calls sync.WaitGroup
	for i, one := range targets {
		calls.Go(func() {
			if report, err := o.sources.Ask(ctx, one.address, about); err == nil {
				answers[i] = &report
			}
		})
	}
	own := o.Report(ctx, about)
	calls.Wait()
	read := cell{at: time.Now(), reports: []Report{own}, instances: []reporter.InstanceView{own.Instance}}
	for i, one := range targets {
		// A process that took over the address of another instance does not speak for it.
		if answer := answers[i]; answer != nil && answer.Instance.Instance == one.view.Instance {
			answer.Instance.OperatorAddress = cmp.Or(answer.Instance.OperatorAddress, one.view.OperatorAddress)
			read.reports = append(read.reports, *answer)
			read.instances = append(read.instances, answer.Instance)
		}
	}
	for _, one := range targets {
		if !read.has(one.view.Instance) {
			read.instances = append(read.instances, read.viewOf(one))
		}
	}
	slices.SortFunc(read.instances, func(x, y reporter.InstanceView) int {
		return cmp.Or(cmp.Compare(x.AvailabilityZone, y.AvailabilityZone), cmp.Compare(x.Instance, y.Instance))
	})
	return read
}

// targets returns the other instances: those of the instance list, and those that it does not show yet.
func (o *Observer) targets() []target {
	byID := make(map[describer.InstanceID]target)
	listing, _ := o.sources.Listing()
	for _, instance := range listing.Instances {
		byID[instance.ID] = target{address: instance.PeerAddress, view: reporter.InstanceView{
			Instance: instance.ID, AvailabilityZone: instance.AvailabilityZone, Incarnation: instance.Incarnation,
			OperatorAddress: instance.OperatorAddress,
		}}
	}
	for _, heard := range o.sources.Heard() {
		view := heard.Instance
		view.OperatorAddress = byID[view.Instance].view.OperatorAddress
		byID[view.Instance] = target{address: heard.PeerAddress, view: view, heard: true}
	}
	delete(byID, o.sources.Self.ID)
	targets := make([]target, 0, len(byID))
	for _, one := range byID {
		targets = append(targets, one)
	}
	return targets
}

func (c *cell) has(id describer.InstanceID) bool {
	return slices.ContainsFunc(c.instances, func(view reporter.InstanceView) bool { return view.Instance == id })
}

// viewOf returns an instance that does not answer, as the newest heartbeat to any instance that answers shows it.
func (c *cell) viewOf(one target) reporter.InstanceView {
	view := one.view
	view.Live = one.heard
	for _, report := range c.reports {
		for _, heard := range report.Heard {
			if heard.Instance == view.Instance && heard.LastHeard.After(view.LastHeard) {
				heard.OperatorAddress = view.OperatorAddress
				view = heard
				view.Live = true
			}
		}
	}
	return view
}
