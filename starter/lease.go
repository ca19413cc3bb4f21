package starter

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// changeServers applies a new list of backend servers. A backend server that is missing from the list is lost: its
// leases are no longer renewed, and its tasks are started elsewhere after their leases have expired.
func (s *Starter) changeServers(now time.Time, list []describer.BackendServer) {
	listed := make(map[describer.BackendServerID]bool, len(list))
	for _, described := range list {
		listed[described.ID] = true
		srv := s.servers[described.ID]
		if srv == nil {
			srv = s.addServer(now, described.ID)
		}
		srv.state = described.State
	}
	s.notifyPlacer(now, placer.ServersChanged{Servers: list})
	for _, srv := range s.orderedServers() {
		if listed[srv.id] {
			continue
		}
		srv.state = describer.Gone
		if len(srv.tasks) == 0 {
			s.removeServer(srv)
			continue
		}
		s.markLost(now, srv)
	}
}

func (s *Starter) addServer(now time.Time, id describer.BackendServerID) *server {
	added := &server{id: id, tasks: make(map[describer.TaskID]*task), lastContactAt: now, renewAt: now}
	s.servers[id] = added
	s.wakeServer(added, now)
	return added
}

func (s *Starter) removeServer(srv *server) {
	srv.wakeAt = time.Time{}
	if srv.health.ejected {
		s.ejected--
	}
	delete(s.servers, srv.id)
}

func (s *Starter) orderedServers() []*server {
	ordered := make([]*server, 0, len(s.servers))
	for _, srv := range s.servers {
		ordered = append(ordered, srv)
	}
	slices.SortFunc(ordered, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return ordered
}

func (s *Starter) wakeServer(srv *server, at time.Time) {
	srv.wakeAt = at
	s.timers.set(at, srv)
}

// wake implements waker.
func (s *server) wake(starter *Starter, now time.Time) {
	starter.checkServer(now, s)
}

// checkServer renews the leases of a backend server, marks it as lost after lossTimeout without contact, and probes it
// if it is ejected.
func (s *Starter) checkServer(now time.Time, srv *server) {
	if !srv.lost && !now.Before(srv.lastContactAt.Add(s.settings.lossTimeout)) {
		s.markLost(now, srv)
	}
	if !now.Before(srv.renewAt) {
		srv.renewAt = now.Add(s.settings.renewInterval)
		s.renew(now, srv)
	}
	s.probe(now, srv)
	next := srv.renewAt
	if at := srv.lastContactAt.Add(s.settings.lossTimeout); !srv.lost && at.Before(next) {
		next = at
	}
	if srv.health.ejected && srv.health.probeAt.After(now) && srv.health.probeAt.Before(next) {
		next = srv.health.probeAt
	}
	s.wakeServer(srv, next)
}

// renew sends a renewal. The renewal to a lost backend server lists no attempts, so that it extends no lease and only
// detects when the backend server responds again.
func (s *Starter) renew(now time.Time, srv *server) {
	if !s.recovered || !now.Before(s.right.RenewUntil) || srv.state == describer.Gone {
		return
	}
	renewal := RenewLeases{
		Server: srv.id, Epoch: s.right.Epoch, LeaseSeconds: int64(s.settings.lease / time.Second),
	}
	if !srv.lost {
		for _, t := range srv.ordered() {
			if t.sent {
				renewal.Attempts = append(renewal.Attempts, t.currentAttempt())
			}
		}
		srv.leaseUntil = now.Add(CallTimeout + s.settings.lease)
	}
	s.emit(renewal)
}

// markLost marks a backend server and its attempts as lost. Starts that were not sent are cancelled.
func (s *Starter) markLost(now time.Time, srv *server) {
	if srv.lost {
		return
	}
	srv.lost = true
	s.notifyPlacer(now, placer.ServerEjected{Server: srv.id})
	for _, t := range srv.ordered() {
		switch {
		case t.server != srv:
			// The end of another task of its gang job has ended this one as well.
		case t.state == Committing:
			s.stop(now, t)
		default:
			t.state = Lost
			s.checkLost(now, t)
		}
	}
}

// checkLost ends a lost attempt when its lease has certainly expired, and schedules the next check otherwise.
func (s *Starter) checkLost(now time.Time, t *task) {
	expired := t.leaseUntil
	if t.server.leaseUntil.After(expired) {
		expired = t.server.leaseUntil
	}
	expired = expired.Add(s.settings.leaseMargin)
	if now.Before(expired) {
		s.wakeTask(t, expired)
		return
	}
	srv := t.server
	s.endAttempt(now, t, committer.Lost, "backend server is lost and the lease has expired")
	if srv.state == describer.Gone && len(srv.tasks) == 0 {
		s.removeServer(srv)
	}
}

// recordContact records a response or report of a backend server. The lost tasks of a backend server that responds
// again count as running; its next report shows whether they still run.
func (s *Starter) recordContact(now time.Time, srv *server) {
	srv.lastContactAt = now
	if !srv.lost || srv.state == describer.Gone {
		return
	}
	srv.lost = false
	if !srv.health.ejected {
		s.notifyPlacer(now, placer.ServerReadmitted{Server: srv.id})
	}
	for _, t := range srv.ordered() {
		if t.state != Lost {
			continue
		}
		t.state = Running
		t.wakeAt = time.Time{}
		switch {
		case t.mustEnd || t.withdrawn:
			s.stop(now, t)
		case t.startedAt.IsZero():
			// The outcome of the start is unknown; the start is retried.
			t.state = Starting
			s.wakeTask(t, now)
		}
	}
	s.renew(now, srv)
}

func (s *Starter) renewResponded(now time.Time, e RenewResponded) {
	srv := s.servers[e.Server]
	if srv == nil {
		return
	}
	s.recordContact(now, srv)
	if e.Epoch == s.right.Epoch && srv.epochKnown != e.Epoch {
		srv.epochKnown, srv.epochKnownAt = e.Epoch, now
	}
}

func sortTasks(tasks []*task) {
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
	})
}
