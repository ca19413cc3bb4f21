package measurer

import (
	"time"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/dispatcher"
)

const (
	// decisionInterval is the virtual time between two decisions at 20,000 decisions a second.
	decisionInterval = 50 * time.Microsecond
	unlimitedQueue   = 1 << 30
	queueBoundToday  = 1_000
	queueBoundLater  = 50_000
)

func requestSweeps(seed uint64) []sweep {
	servers := []int{48, 305, 611, 1_222, 5_500, 11_000}
	waiting := []int{1_000, 10_000, 50_000, 100_000}
	return []sweep{
		{
			"µs a decision (admit, queue, start, end)", "backend servers of the zone, all slots owned", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 { return decisionTime(seed, size, 100) },
		},
		{
			"µs a decision", "waiting requests, 48 backend servers", waiting, queueBoundToday, queueBoundLater,
			func(size int) float64 { return decisionTime(seed, serversToday, size) },
		},
		{
			"bytes of the core without requests", "backend servers of the zone", servers,
			serversInZoneToday, serversInZoneLater,
			func(size int) float64 {
				return heapBytes(func() any { return newCapacityDispatcher(seed, size) })
			},
		},
		{
			"bytes of the core", "waiting requests, 48 backend servers", waiting, queueBoundToday, queueBoundLater,
			func(size int) float64 {
				return heapBytes(func() any {
					d := newCapacityDispatcher(seed, serversToday)
					fillDispatcher(d, serversToday*8+size)
					return d
				})
			},
		},
		{
			"µs a change of all shares", "backend servers of the zone", servers, serversInZoneToday, serversInZoneLater,
			func(size int) float64 {
				d, shares := newCapacityDispatcher(seed, size), sharesOf(size)
				return microsecondsEach(200, func(int) { d.Handle(epochStart, dispatcher.SharesChanged{Shares: shares}) })
			},
		},
		{
			"µs a cancellation", "waiting requests, 48 backend servers", waiting, queueBoundToday, queueBoundLater,
			func(size int) float64 {
				d := newCapacityDispatcher(seed, serversToday)
				fillDispatcher(d, serversToday*8+size+size/10)
				return microsecondsEach(size, func(i int) {
					d.Handle(epochStart, dispatcher.RequestCancelled{ID: describer.RequestID(serversToday*8 + i)})
				})
			},
		},
	}
}

func sharesOf(servers int) []dispatcher.Share {
	shares := make([]dispatcher.Share, servers)
	for i, server := range capacityServers(servers) {
		shares[i] = dispatcher.Share{BackendServer: server.ID, Slots: 8, Connections: 64}
	}
	return shares
}

func newCapacityDispatcher(seed uint64, servers int) *dispatcher.Dispatcher {
	d := dispatcher.New(dispatcher.WithSeed(seed), dispatcher.WithQueueBound(unlimitedQueue))
	d.Handle(epochStart, dispatcher.ServicesChanged{Services: []describer.Service{{
		ID: "tally", QueueLimit: unlimitedQueue,
		Kinds: map[describer.KindID]describer.Kind{"count": {ExpectedMilliseconds: 1}},
	}}})
	d.Handle(epochStart, dispatcher.BackendServersChanged{Servers: capacityServers(servers)})
	d.Handle(epochStart, dispatcher.SharesChanged{Shares: sharesOf(servers)})
	return d
}

func arrivalOf(id int, now time.Time) dispatcher.RequestArrived {
	return dispatcher.RequestArrived{Request: describer.Request{
		ID: describer.RequestID(id), Service: "tally", Kind: "count", Team: "team", Repeatable: true,
		Class: describer.Class(id % describer.ClassCount), Deadline: now.Add(time.Hour),
	}}
}

// fillDispatcher sends a number of requests to a dispatcher and returns the attempts that it started.
func fillDispatcher(d *dispatcher.Dispatcher, requests int) []dispatcher.StartAttempt {
	var started []dispatcher.StartAttempt
	for id := range requests {
		started = appendStarts(started, d.Handle(epochStart, arrivalOf(id, epochStart)))
	}
	return started
}

func appendStarts(started []dispatcher.StartAttempt, commands []dispatcher.Command) []dispatcher.StartAttempt {
	for _, command := range commands {
		if start, ok := command.(dispatcher.StartAttempt); ok {
			started = append(started, start)
		}
	}
	return started
}

// decisionTime returns the microseconds for the end of an attempt, the arrival of a request and the start that follows,
// while all slots are busy.
func decisionTime(seed uint64, servers, waiting int) float64 {
	d := newCapacityDispatcher(seed, servers)
	started := fillDispatcher(d, servers*8+waiting)
	now, id := epochStart, servers*8+waiting
	return microsecondsEach(capacityRepetitions, func(int) {
		now = now.Add(decisionInterval)
		if len(started) > 0 {
			ended := started[0]
			started = appendStarts(started[1:], d.Handle(now, dispatcher.AttemptEnded{ID: ended.ID, Attempt: ended.Attempt}))
		}
		started = appendStarts(started, d.Handle(now, arrivalOf(id, now)))
		id++
	})
}
