package conductor_test

import (
	"fmt"
	"strconv"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/specifier"
)

const (
	gangWait        = 3 * time.Second
	defaultStopTime = 150 * time.Millisecond
	// carryOverDelay is the time from the restart of a server until it carries out calls that were sent before.
	carryOverDelay = 10 * time.Millisecond
	// staleEntryTime is how long the entry of a server that does not reach the store stays listed.
	staleEntryTime = 1500 * time.Millisecond
	// dialTimeout is how long the opening of a connection takes to fail.
	dialTimeout = 400 * time.Millisecond
)

// fakeServer simulates a backend server with the behavior that the platform's documentation specifies.
type fakeServer struct {
	server    specifier.Server
	startedAt time.Time
	// clockStart is the time on the clock at startedAt.
	clockStart time.Duration
	fence      int64
	leaseEnd   time.Duration
	runs       map[specifier.TaskID]*fakeRun
	stopped    map[specifier.TaskID]int
	ended      []specifier.EndedTask
	endedAt    map[int64]time.Time
	lastEnd    int64
	// leaseExpiredAt is when the lease last expired.
	leaseExpiredAt time.Time
	// silentUntil is when the server becomes reachable again; downUntil is when it restarts after a crash.
	silentUntil time.Time
	// unlistedUntil is when the server is listed again.
	unlistedUntil time.Time
	// expiresAt is when the entry of a crashed server expires.
	expiresAt time.Time
	downUntil time.Time
	// loseResponsesUntil and delayStartsUntil are the ends of these faults.
	loseResponsesUntil time.Time
	delayStartsUntil   time.Time
	failsUntil         time.Time
	// noConnectionsUntil is when connections to the server can be opened again. Renewals use open ones.
	noConnectionsUntil time.Time
	// lastEntry is the newest entry in the store, and lastEntryAt its time; see simulation.staleList.
	lastEntry   specifier.Server
	lastEntryAt time.Time
	// restartsAs is what the server is after its next restart, if it is of another kind then.
	restartsAs *fakeKind
	waiting    func()
	// refusesUntil is until when the server refuses starts for lack of capacity.
	refusesUntil time.Time
	// speed is by how much runs on the server are shorter, and slowUntil is until when they take slowFactor times as long. Zero
	// stands for one.
	speed      float64
	slowUntil  time.Time
	slowFactor float64
}

// timeOf returns how long work takes on the server that takes some time at speed one.
func (s *fakeServer) timeOf(w *simulation, work time.Duration) time.Duration {
	factor := 1.0
	if s.speed > 0 {
		factor /= s.speed
	}
	if w.now.Before(s.slowUntil) {
		factor *= s.slowFactor
	}
	return time.Duration(float64(work) * factor)
}

// fakeKind is the kind of a server.
type fakeKind struct {
	Labels   []string
	Capacity specifier.Resources
}

type fakeRun struct {
	task         specifier.TaskID
	run          int
	server       *fakeServer
	job          specifier.Job
	begunAt      time.Time
	need         specifier.Resources
	ended        bool
	endedAt      time.Time
	gangComplete bool
	// length is how long the whole work takes on the server, without a restore, and saved the part of it in the checkpoint that the run was
	// started from.
	length time.Duration
	saved  float64
}

// checkpoint returns the checkpoint of a run: the part of the work that is done, which is saved at each checkpointInterval of the run.
func (r *fakeRun) checkpoint(w *simulation) string {
	if w.checkpointInterval == 0 || r.length == 0 || !r.job.Steps[r.task.Step].Checkpointing {
		return ""
	}
	ran := w.now.Sub(r.begunAt)
	if r.saved > 0 {
		ran -= w.restoreTime
	}
	done := r.saved + max(0, ran).Truncate(w.checkpointInterval).Seconds()/r.length.Seconds()
	if done == 0 {
		return ""
	}
	return strconv.FormatFloat(done, 'f', -1, 64)
}

func (w *simulation) addServer(id specifier.ServerID) {
	w.servers[id] = &fakeServer{
		server: specifier.Server{
			ID: id, Service: "s", Address: string(id), Incarnation: w.now.UnixMilli(), Labels: []string{"r1"},
			Capacity: specifier.Resources{MilliCores: 64000, MemoryMB: 131072},
		},
		startedAt: w.now, clockStart: time.Hour, runs: make(map[specifier.TaskID]*fakeRun), stopped: make(map[specifier.TaskID]int),
		endedAt: make(map[int64]time.Time),
	}
}

// clock returns the time on the server's clock, which does not begin at zero.
func (s *fakeServer) clock(w *simulation) time.Duration {
	return s.clockStart + w.now.Sub(s.startedAt)*98/100
}

// listed reports whether the server's registration is in the store. It expires some time after a crash; see entryLife.
func (s *fakeServer) listed(w *simulation) bool {
	if !s.downUntil.IsZero() {
		return w.now.Before(s.expiresAt)
	}
	return !w.now.Before(s.unlistedUntil)
}

// entry returns what the list shows of the server.
func (s *fakeServer) entry(w *simulation) (specifier.Server, bool) {
	if !w.staleList {
		return s.server, s.listed(w)
	}
	if s.reachable(w) {
		s.lastEntry, s.lastEntryAt = s.server, w.now
	}
	return s.lastEntry, !s.lastEntryAt.IsZero() && w.now.Sub(s.lastEntryAt) < staleEntryTime && !w.now.Before(s.unlistedUntil)
}

func (s *fakeServer) reachable(w *simulation) bool {
	return !w.now.Before(s.silentUntil) && s.downUntil.IsZero()
}

// silence returns how long a caller waits for a response that it does not receive, given the timeout of the call.
func (s *fakeServer) silence(w *simulation, timeout time.Duration) time.Duration {
	if w.breaksConnections && !s.downUntil.IsZero() {
		return linkDelay
	}
	return timeout
}

// sendOrder delivers an order to the server, and passes its response to deliverReply.
func (s *fakeServer) sendOrder(
	w *simulation, epoch int64, apply func(*fakeServer) specifier.OrderResult, deliverReply func(specifier.OrderReply),
) {
	lost := func() {
		w.after(orderTimeout, func() { deliverReply(specifier.OrderReply{Result: specifier.OrderUnknown}) })
	}
	w.after(linkDelay, func() {
		switch {
		case w.now.Before(s.noConnectionsUntil):
			w.after(dialTimeout, func() { deliverReply(specifier.OrderReply{Result: specifier.OrderNotSent}) })
		case !s.reachable(w):
			s.carryOver(w, func() { apply(s) })
			lost()
		case w.now.Before(s.delayStartsUntil):
			// Only the incarnation that received the order carries it out; an order does not survive a crash.
			incarnation := s.server.Incarnation
			w.after(time.Duration(2+w.random.IntN(10))*time.Second, func() {
				if s.downUntil.IsZero() && s.server.Incarnation == incarnation {
					apply(s)
				}
			})
			lost()
		case w.now.Before(s.loseResponsesUntil):
			apply(s)
			lost()
		default:
			reply := specifier.OrderReply{Result: apply(s), Clock: s.clock(w), HasClock: true}
			w.after(linkDelay, func() { deliverReply(reply) })
		}
	})
}

func (s *fakeServer) respondToRenewal(w *simulation, epoch int64, c conductor.Renew) {
	sentAt := w.now
	deliverResult := func(result specifier.OrderResult, report specifier.ServerReport) {
		w.deliver(epoch, conductor.RenewEnded{
			Server: c.Server.ID, Incarnation: c.Server.Incarnation, Sequence: c.Sequence, Fence: c.Fence,
			Acknowledged: c.Acknowledged, SentAt: sentAt, Result: result, Report: report,
		})
	}
	lost := func() {
		w.after(s.silence(w, c.Wait+orderTimeout), func() { deliverResult(specifier.OrderUnknown, specifier.ServerReport{}) })
	}
	w.after(linkDelay, func() {
		if !s.reachable(w) {
			s.carryOver(w, func() { s.hold(w, c) })
			lost()
			return
		}
		if !s.hold(w, c) {
			w.after(linkDelay, func() { deliverResult(specifier.OrderFenced, specifier.ServerReport{}) })
			return
		}
		incarnation := s.server.Incarnation
		respond := func() {
			if s.server.Incarnation != incarnation || !s.reachable(w) || w.now.Before(s.loseResponsesUntil) {
				lost()
				return
			}
			report := s.report(w)
			w.after(linkDelay, func() { deliverResult(specifier.OrderDone, report) })
		}
		if len(s.ended) > 0 || c.Wait == 0 {
			respond()
			return
		}
		responded := false
		once := func() {
			if !responded {
				responded = true
				respond()
			}
		}
		s.waiting = once
		w.after(c.Wait, once)
	})
}

// hold carries out a renewal. It reports whether the fencing token is valid.
func (s *fakeServer) hold(w *simulation, c conductor.Renew) bool {
	if c.Fence < s.fence {
		return false
	}
	s.fence = c.Fence
	s.renew(w, c.LeaseEnd)
	s.discardEnds(w, c.Acknowledged)
	return true
}

// carryOver makes the next incarnation of a server that is down carry out a call, if the simulation delays calls over restarts.
func (s *fakeServer) carryOver(w *simulation, call func()) {
	if !w.delaysCallsOverRestarts || s.downUntil.IsZero() {
		return
	}
	delay := carryOverDelay
	if w.carryOverSpread > 0 {
		delay += time.Duration(w.random.Int64N(int64(w.carryOverSpread)))
	}
	w.at(s.downUntil.Add(delay), func() {
		if s.reachable(w) {
			call()
		}
	})
}

func (s *fakeServer) discardEnds(w *simulation, acknowledged int64) {
	for len(s.ended) > 0 && s.ended[0].Number <= acknowledged {
		end := s.ended[0]
		s.ended = s.ended[1:]
		if endedAt := s.endedAt[end.Number]; s.leaseExpiredAt.Before(endedAt) {
			w.checkAcknowledged(end, endedAt)
		}
	}
}

func (s *fakeServer) report(w *simulation) specifier.ServerReport {
	report := specifier.ServerReport{Incarnation: s.server.Incarnation, Clock: s.clock(w)}
	for _, r := range s.runs {
		report.Running = append(report.Running, specifier.RunningTask{
			Task: r.task, Run: r.run, Checkpoint: r.checkpoint(w), Percent: 100, Measurement: 1000,
		})
	}
	listed := min(len(s.ended), w.endsPerReport)
	report.Ended = append(report.Ended, s.ended[:listed]...)
	report.EndsMissing = listed == w.endsPerReport
	return report
}

// renew extends the lease of all runs on the server, to at most ten seconds from now.
func (s *fakeServer) renew(w *simulation, end time.Duration) {
	end = min(end, s.clock(w)+10*time.Second)
	if end <= s.leaseEnd {
		return
	}
	s.leaseEnd = end
	incarnation := s.server.Incarnation
	w.after((end-s.clock(w))*100/98+time.Millisecond, func() {
		if s.server.Incarnation == incarnation && s.clock(w) >= s.leaseEnd {
			s.leaseExpiredAt = w.now
			for _, r := range s.all() {
				s.end(w, r, specifier.RunLeaseExpired)
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

func (s *fakeServer) startRun(w *simulation, c conductor.Start) specifier.OrderResult {
	o := c.Order
	if o.Fence < s.fence {
		return specifier.OrderFenced
	}
	s.fence = o.Fence
	if o.LeaseEnd < s.clock(w) {
		return specifier.OrderLeaseExpired
	}
	s.renew(w, o.LeaseEnd)
	if known := s.runs[o.Task]; known != nil && known.run == o.Run {
		return specifier.OrderDone
	}
	if s.stopped[o.Task] >= o.Run {
		return specifier.OrderObsolete
	}
	if o.Ticket != "" && o.Ticket != s.ticket() {
		w.voidTickets++
		return specifier.OrderNoTicket
	}
	if w.now.Before(s.refusesUntil) {
		return specifier.OrderNoCapacity
	}
	w.begin(s, o)
	return specifier.OrderDone
}

// ticket returns a ticket for the present incarnation of the server.
func (s *fakeServer) ticket() string {
	return fmt.Sprintf("ticket for incarnation %d", s.server.Incarnation)
}

func (s *fakeServer) stopRun(w *simulation, c conductor.Stop) specifier.OrderResult {
	if c.Fence < s.fence {
		return specifier.OrderFenced
	}
	s.fence = c.Fence
	s.stopped[c.Task] = max(s.stopped[c.Task], c.Run)
	if r := s.runs[c.Task]; r != nil && r.run <= c.Run {
		w.after(w.stopTime, func() { s.end(w, r, specifier.RunStopped) })
	}
	return specifier.OrderDone
}

func (s *fakeServer) end(w *simulation, r *fakeRun, reason specifier.EndReason) {
	if r.ended {
		return
	}
	r.ended, r.endedAt = true, w.now
	delete(s.runs, r.task)
	s.stopped[r.task] = max(s.stopped[r.task], r.run)
	s.lastEnd++
	s.ended = append(s.ended, specifier.EndedTask{
		Number: s.lastEnd, Task: r.task, Run: r.run, Reason: reason, Checkpoint: r.checkpoint(w),
	})
	s.endedAt[s.lastEnd] = w.now
	w.recordEnd(r, reason)
	if s.waiting != nil {
		waiting := s.waiting
		s.waiting = nil
		w.after(0, waiting)
	}
}

// replaceServer starts a server under a new ID at the address of one that is down for good.
func (w *simulation) replaceServer(s *fakeServer) {
	id := s.server.ID + "x"
	w.addServer(id)
	w.servers[id].server.Address = s.server.Address
}

// crash loses all state of the server, which restarts after the given time as a new incarnation: with the same ID, or with a new
// one if renamesServers is set.
func (s *fakeServer) crash(w *simulation, down time.Duration) {
	for _, r := range s.all() {
		r.ended, r.endedAt = true, w.now
		w.recordEnd(r, specifier.RunGangBroken)
	}
	waiting := s.waiting
	s.runs, s.stopped = make(map[specifier.TaskID]*fakeRun), make(map[specifier.TaskID]int)
	s.endedAt = make(map[int64]time.Time)
	s.ended, s.lastEnd, s.fence, s.leaseEnd, s.waiting = nil, 0, 0, 0, nil
	s.downUntil, s.expiresAt = w.now.Add(down), w.now.Add(w.entryLife)
	if w.breaksConnections && waiting != nil {
		waiting()
	}
	w.after(down, func() {
		if w.renamesServers {
			w.replaceServer(s)
			return
		}
		s.downUntil = time.Time{}
		s.startedAt, s.clockStart = w.now, s.clockStart-time.Minute
		s.server.Incarnation = w.now.UnixMilli()
		if kind := s.restartsAs; kind != nil {
			s.server.Labels, s.server.Capacity, s.restartsAs = kind.Labels, kind.Capacity, nil
		}
	})
}
