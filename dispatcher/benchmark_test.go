package dispatcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

// newSaturatedDispatcher returns a dispatcher whose slots are all in use, with the given number of queued requests, and
// the attempts that it has started.
func newSaturatedDispatcher(b testing.TB, servers, waiting int) (*dispatcher.Dispatcher, []dispatcher.StartAttempt) {
	b.Helper()
	d := dispatcher.New(dispatcher.WithQueueBound(1 << 30))
	d.Handle(epoch, dispatcher.ServicesChanged{Services: []describer.Service{{
		ID: "tally", QueueLimit: 1 << 30, Kinds: map[describer.KindID]describer.Kind{"count": {ExpectedMilliseconds: 1}},
	}}})
	listed, shares := newServers(servers)
	d.Handle(epoch, dispatcher.BackendServersChanged{Servers: listed})
	d.Handle(epoch, dispatcher.SharesChanged{Shares: shares})
	var started []dispatcher.StartAttempt
	for i := range servers*8 + waiting {
		for _, command := range d.Handle(epoch, longArrival(i)) {
			if start, ok := command.(dispatcher.StartAttempt); ok {
				started = append(started, start)
			}
		}
	}
	return d, started
}

func newServers(servers int) ([]describer.BackendServer, []dispatcher.Share) {
	listed := make([]describer.BackendServer, servers)
	shares := make([]dispatcher.Share, servers)
	for i := range servers {
		listed[i] = describer.BackendServer{ID: serverID(i), State: describer.Live}
		shares[i] = dispatcher.Share{BackendServer: serverID(i), Slots: 8, Connections: 64}
	}
	return listed, shares
}

func longArrival(id int) dispatcher.RequestArrived {
	event := arrival(id)
	event.Request.Deadline = epoch.Add(time.Hour)
	event.Request.Class = describer.Class(id % describer.ClassCount)
	return event
}

// BenchmarkDecisions guards against decisions whose cost grows with the number of servers. One decision is the
// admission, queueing, start and end of a request. The virtual time advances as at 20,000 decisions a second.
func BenchmarkDecisions(b *testing.B) {
	for _, servers := range []int{48, 200, 528, 2000, 5000, 11_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			d, started := newSaturatedDispatcher(b, servers, 100)
			now := epoch
			id := len(started) + 100
			var took []time.Duration
			for b.Loop() {
				began := time.Now()
				now = now.Add(50 * time.Microsecond)
				ended := started[0]
				started = started[1:]
				commands := d.Handle(now, dispatcher.AttemptEnded{ID: ended.ID, Attempt: ended.Attempt})
				id++
				event := longArrival(id)
				event.Request.Deadline = now.Add(time.Hour)
				commands = append(commands, d.Handle(now, event)...)
				for _, command := range commands {
					if start, ok := command.(dispatcher.StartAttempt); ok {
						started = append(started, start)
					}
				}
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)*99/100].Nanoseconds()), "p99-ns/decision")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

// BenchmarkCancellationBurst guards against a cancellation whose cost grows with the number of waiting requests.
func BenchmarkCancellationBurst(b *testing.B) {
	for _, waiting := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				d, started := newSaturatedDispatcher(b, 1, waiting)
				b.StartTimer()
				for id := range waiting {
					d.Handle(epoch, dispatcher.RequestCancelled{ID: describer.RequestID(id + len(started))})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*waiting), "ns/cancellation")
		})
	}
}

// BenchmarkShares measures the cost of replacing the shares of all servers.
func BenchmarkShares(b *testing.B) {
	d, _ := newSaturatedDispatcher(b, 11_000, 0)
	_, shares := newServers(11_000)
	for b.Loop() {
		d.Handle(epoch, dispatcher.SharesChanged{Shares: shares})
	}
}
