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
	// fetchTimeout bounds the wait for the report of a peer; a partitioned zone delays a view by this time.
	fetchTimeout = time.Second
	// maxReportAge is how long reports are cached, so that the parts of one view request them from the peers once.
	maxReportAge = 200 * time.Millisecond
)

// Observer serves the operators' queries about the cell. It is safe for concurrent use.
type Observer struct {
	sources Sources
	// RecentRequests holds the latest requests that this instance refused, failed or relayed.
	RecentRequests *RecentRequests

	// mu is held while reports are fetched, so that concurrent queries share one fetch.
	mu     sync.Mutex
	cached snapshot
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
	return &Observer{sources: sources, RecentRequests: NewRecentRequests()}
}

// snapshot holds the reports of all instances from one fetch, and a view of each instance.
type snapshot struct {
	at        time.Time
	reports   []Report
	instances []reporter.InstanceView
}

// peer is another instance, from the instance list or from its heartbeats.
type peer struct {
	view    reporter.InstanceView
	address string
	// recent is true when a heartbeat arrived recently.
	recent bool
}

// Report returns the report of this instance. If about is not empty, the report has the reasons for the state of the
// object that it names.
func (o *Observer) Report(ctx context.Context, about string) Report {
	report := o.sources.Local(ctx)
	report.Instance.Live = true
	report.Instance.LastHeard = time.Now().UTC()
	if about != "" {
		report.Reasons = o.localReasons(report, about)
	}
	return report
}

// recentSnapshot returns a snapshot that is at most maxReportAge old.
func (o *Observer) recentSnapshot(ctx context.Context) snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	if time.Since(o.cached.at) > maxReportAge {
		// Concurrent queries may wait for these reports, so the fetch continues when the first query is cancelled.
		o.cached = o.fetch(context.WithoutCancel(ctx), "")
	}
	return o.cached
}

// fetch collects the reports of all instances. The view of an instance that does not respond comes from the instance
// list and its newest heartbeat.
func (o *Observer) fetch(ctx context.Context, about string) snapshot {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	peers := o.peers()
	responses := make([]*Report, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() {
			if report, err := o.sources.FetchReport(ctx, p.address, about); err == nil {
				responses[i] = &report
			}
		})
	}
	own := o.Report(ctx, about)
	calls.Wait()
	current := snapshot{at: time.Now(), reports: []Report{own}, instances: []reporter.InstanceView{own.Instance}}
	for i, p := range peers {
		// Ignore the response of another instance that has taken over the address of this peer.
		if response := responses[i]; response != nil && response.Instance.Instance == p.view.Instance {
			response.Instance.OperatorAddress = cmp.Or(response.Instance.OperatorAddress, p.view.OperatorAddress)
			current.reports = append(current.reports, *response)
			current.instances = append(current.instances, response.Instance)
		}
	}
	for _, p := range peers {
		if !current.has(p.view.Instance) {
			current.instances = append(current.instances, current.viewOf(p))
		}
	}
	slices.SortFunc(current.instances, func(x, y reporter.InstanceView) int {
		return cmp.Or(cmp.Compare(x.AvailabilityZone, y.AvailabilityZone), cmp.Compare(x.Instance, y.Instance))
	})
	return current
}

// peers returns the other instances: those of the instance list, and those that sent heartbeats but are not listed yet.
func (o *Observer) peers() []peer {
	byID := make(map[describer.InstanceID]peer)
	listing, _ := o.sources.Listing()
	for _, instance := range listing.Instances {
		byID[instance.ID] = peer{address: instance.PeerAddress, view: reporter.InstanceView{
			Instance: instance.ID, AvailabilityZone: instance.AvailabilityZone, Incarnation: instance.Incarnation,
			OperatorAddress: instance.OperatorAddress,
		}}
	}
	for _, recentPeer := range o.sources.RecentPeers() {
		view := recentPeer.Instance
		view.OperatorAddress = byID[view.Instance].view.OperatorAddress
		byID[view.Instance] = peer{address: recentPeer.PeerAddress, view: view, recent: true}
	}
	delete(byID, o.sources.Self.ID)
	peers := make([]peer, 0, len(byID))
	for _, p := range byID {
		peers = append(peers, p)
	}
	return peers
}

func (s *snapshot) has(id describer.InstanceID) bool {
	return slices.ContainsFunc(s.instances, func(view reporter.InstanceView) bool { return view.Instance == id })
}

// viewOf returns the view of an instance that does not respond. It comes from the newest heartbeat that this instance
// or any instance that responds received from it.
func (s *snapshot) viewOf(p peer) reporter.InstanceView {
	view := p.view
	view.Live = p.recent
	for _, report := range s.reports {
		for _, reported := range report.Heard {
			if reported.Instance == view.Instance && reported.LastHeard.After(view.LastHeard) {
				reported.OperatorAddress = view.OperatorAddress
				view = reported
				view.Live = true
			}
		}
	}
	return view
}
