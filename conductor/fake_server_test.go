package conductor_test

import (
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

const (
	gangWait = 3 * time.Second
	stopTime = 150 * time.Millisecond
)

// fakeServer carries out orders as the platform's pages say.
type fakeServer struct {
	server   specifier.Server
	bornAt   time.Time
	fence    int64
	leaseEnd time.Duration
	runs     map[specifier.TaskID]*fakeRun
	stopped  map[specifier.TaskID]int
	ended    []specifier.EndedTask
	endedAt  map[int64]time.Time
	number   int64
	// lapsedAt is when the lease last ended.
	lapsedAt time.Time
	// silentUntil is when the server can be reached again; deadUntil is when it starts again after a crash.
	silentUntil time.Time
	// unlistedUntil is when the server's entry is back in the list.
	unlistedUntil time.Time
	deadUntil     time.Time
	// loseAnswers and delayStarts end at these times.
	loseAnswers time.Time
	delayStarts time.Time
	failsUntil  time.Time
	waiting     func()
}

type fakeRun struct {
	task    specifier.TaskID
	run     int
	server  *fakeServer
	job     specifier.Job
	begunAt time.Time
	need    specifier.Resources
	ended   bool
	present bool
}

func (w *world) addServer(id specifier.ServerID) {
	w.servers[id] = &fakeServer{
		server: specifier.Server{
			ID: id, Service: "s", Address: string(id), Born: w.now.UnixMilli(), Labels: []string{"r1"},
			Capacity: specifier.Resources{MilliCores: 64000, MemoryMB: 131072},
		},
		bornAt: w.now, runs: make(map[specifier.TaskID]*fakeRun), stopped: make(map[specifier.TaskID]int),
		endedAt: make(map[int64]time.Time),
	}
}

func (s *fakeServer) clock(w *world) time.Duration {
	return w.now.Sub(s.bornAt) * 98 / 100
}

// listed reports whether the entry of the server is in the store; it is gone three heartbeats after a crash.
func (s *fakeServer) listed(w *world) bool {
	return s.deadUntil.IsZero() && !w.now.Before(s.unlistedUntil)
}

func (s *fakeServer) reachable(w *world) bool {
	return !w.now.Before(s.silentUntil) && s.deadUntil.IsZero()
}

// order carries an order to the server and its result back.
func (s *fakeServer) order(
	w *world, epoch int64, apply func(*fakeServer) specifier.OrderResult, answer func(specifier.OrderResult),
) {
	lost := func() { w.after(orderTimeout, func() { answer(specifier.OrderUnknown) }) }
	w.after(linkDelay, func() {
		switch {
		case !s.reachable(w):
			lost()
		case w.now.Before(s.delayStarts):
			// The process that received the order carries it out; an order does not survive a crash.
			born := s.server.Born
			w.after(time.Duration(2+w.random.IntN(10))*time.Second, func() {
				if s.deadUntil.IsZero() && s.server.Born == born {
					apply(s)
				}
			})
			lost()
		case w.now.Before(s.loseAnswers):
			apply(s)
			lost()
		default:
			result := apply(s)
			w.after(linkDelay, func() { answer(result) })
		}
	})
}

func (s *fakeServer) hold(w *world, epoch int64, c conductor.Hold) {
	sentAt := w.now
	answer := func(result specifier.OrderResult, report specifier.ServerReport) {
		w.tell(epoch, conductor.HoldEnded{
			Server: c.Server.ID, Sequence: c.Sequence, Fence: c.Fence, SentAt: sentAt, Result: result, Report: report,
		})
	}
	lost := func() {
		w.after(c.Wait+orderTimeout, func() { answer(specifier.OrderUnknown, specifier.ServerReport{}) })
	}
	w.after(linkDelay, func() {
		if !s.reachable(w) {
			lost()
			return
		}
		if c.Fence < s.fence {
			w.after(linkDelay, func() { answer(specifier.OrderFenced, specifier.ServerReport{}) })
			return
		}
		s.fence = c.Fence
		s.renew(w, c.LeaseEnd)
		s.forget(w, c.Acknowledged)
		born := s.server.Born
		respond := func() {
			if s.server.Born != born || !s.reachable(w) || w.now.Before(s.loseAnswers) {
				lost()
				return
			}
			report := s.report(w)
			w.after(linkDelay, func() { answer(specifier.OrderDone, report) })
		}
		if len(s.ended) > 0 || c.Wait == 0 {
			respond()
			return
		}
		answered := false
		once := func() {
			if !answered {
				answered = true
				respond()
			}
		}
		s.waiting = once
		w.after(c.Wait, once)
	})
}

func (s *fakeServer) forget(w *world, acknowledged int64) {
	for len(s.ended) > 0 && s.ended[0].Number <= acknowledged {
		end := s.ended[0]
		s.ended = s.ended[1:]
		if endedAt := s.endedAt[end.Number]; s.lapsedAt.Before(endedAt) {
			w.noteAcknowledged(end, endedAt)
		}
	}
}

func (s *fakeServer) report(w *world) specifier.ServerReport {
	report := specifier.ServerReport{Born: s.server.Born, Clock: s.clock(w)}
	for _, r := range s.runs {
		report.Running = append(report.Running, specifier.RunningTask{Task: r.task, Run: r.run, Percent: 100, Gauge: 1000})
	}
	report.Ended = append(report.Ended, s.ended...)
	return report
}

// renew extends the lease of everything on the server, at most by ten seconds.
func (s *fakeServer) renew(w *world, end time.Duration) {
	end = min(end, s.clock(w)+10*time.Second)
	if end <= s.leaseEnd {
		return
	}
	s.leaseEnd = end
	born := s.server.Born
	w.after((end-s.clock(w))*100/98+time.Millisecond, func() {
		if s.server.Born == born && s.clock(w) >= s.leaseEnd {
			s.lapsedAt = w.now
			for _, r := range s.all() {
				s.end(w, r, specifier.RunLapsed)
			}
		}
	})
}

func (s *fakeServer) all() []*fakeRun {
	var all []*fakeRun
	for _, r := range s.runs {
		all = append(all, r)
	}
	return all
}

func (s *fakeServer) startRun(w *world, c conductor.Start) specifier.OrderResult {
	o := c.Order
	if o.Fence < s.fence {
		return specifier.OrderFenced
	}
	s.fence = o.Fence
	if o.LeaseEnd < s.clock(w) {
		return specifier.OrderLate
	}
	s.renew(w, o.LeaseEnd)
	if known := s.runs[o.Task]; known != nil && known.run == o.Run {
		return specifier.OrderDone
	}
	if s.stopped[o.Task] >= o.Run {
		return specifier.OrderObsolete
	}
	w.begin(s, o)
	return specifier.OrderDone
}

func (s *fakeServer) stopRun(w *world, c conductor.Stop) specifier.OrderResult {
	if c.Fence < s.fence {
		return specifier.OrderFenced
	}
	s.fence = c.Fence
	s.stopped[c.Task] = max(s.stopped[c.Task], c.Run)
	if r := s.runs[c.Task]; r != nil && r.run <= c.Run {
		w.after(stopTime, func() { s.end(w, r, specifier.RunStopped) })
	}
	return specifier.OrderDone
}

func (s *fakeServer) end(w *world, r *fakeRun, reason specifier.EndReason) {
	if r.ended {
		return
	}
	r.ended = true
	delete(s.runs, r.task)
	s.stopped[r.task] = max(s.stopped[r.task], r.run)
	s.number++
	s.ended = append(s.ended, specifier.EndedTask{Number: s.number, Task: r.task, Run: r.run, Reason: reason})
	s.endedAt[s.number] = w.now
	w.noteEnd(r, reason)
	if s.waiting != nil {
		waiting := s.waiting
		s.waiting = nil
		w.after(0, waiting)
	}
}

// crash loses everything on the server; it is back after a while as another life under the same ID.
func (s *fakeServer) crash(w *world, down time.Duration) {
	for _, r := range s.all() {
		r.ended = true
		w.noteEnd(r, specifier.RunBroken)
	}
	s.runs, s.stopped = make(map[specifier.TaskID]*fakeRun), make(map[specifier.TaskID]int)
	s.endedAt = make(map[int64]time.Time)
	s.ended, s.number, s.fence, s.leaseEnd, s.waiting = nil, 0, 0, 0, nil
	s.deadUntil = w.now.Add(down)
	w.after(down, func() {
		s.deadUntil = time.Time{}
		s.bornAt = w.now
		s.server.Born = w.now.UnixMilli()
	})
}
