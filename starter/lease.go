package starter

import (
	"cmp"
	"slices"
	"time"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/placer"
)

// changeServers takes over the list of backend servers. One that left the list is lost: its leases are no longer
// renewed, and its tasks are started elsewhere after their leases have expired.
func (s *Starter) changeServers(now time.Time, list []describer.BackendServer) {
	listed := make(map[describer.BackendServerID]bool, len(list))
	for _, described := range list {
		listed[described.ID] = true
		known := s.servers[described.ID]
		if known == nil {
			known = s.addServer(now, described.ID)
		}
		known.state = described.State
	}
	s.place(now, placer.ServersChanged{Servers: list})
	for _, known := range s.orderedServers() {
		if listed[known.id] {
			continue
		}
		known.state = describer.Gone
		if len(known.tasks) == 0 {
			s.removeServer(known)
			continue
		}
		s.lose(now, known)
	}
}

func (s *Starter) addServer(now time.Time, id describer.BackendServerID) *server {
	added := &server{id: id, tasks: make(map[describer.TaskID]*task), heardAt: now, renewAt: now}
	s.servers[id] = added
	s.wakeServer(added, now)
	return added
}

func (s *Starter) removeServer(known *server) {
	known.wakeAt = time.Time{}
	if known.health.aside {
		s.aside--
	}
	delete(s.servers, known.id)
}

func (s *Starter) orderedServers() []*server {
	ordered := make([]*server, 0, len(s.servers))
	for _, known := range s.servers {
		ordered = append(ordered, known)
	}
	slices.SortFunc(ordered, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	return ordered
}

func (s *Starter) wakeServer(known *server, at time.Time) {
	known.wakeAt = at
	s.timers.set(at, known)
}

// wake implements waker.
func (s *server) wake(starter *Starter, now time.Time) {
	starter.tendServer(now, s)
}

// tendServer renews the leases of a backend server, finds out that it is lost, and probes it when it is set aside.
func (s *Starter) tendServer(now time.Time, known *server) {
	if !known.lost && !now.Before(known.heardAt.Add(s.settings.lossTimeout)) {
		s.lose(now, known)
	}
	if !now.Before(known.renewAt) {
		known.renewAt = now.Add(s.settings.renewInterval)
		s.renew(now, known)
	}
	s.probe(now, known)
	next := known.renewAt
	if at := known.heardAt.Add(s.settings.lossTimeout); !known.lost && at.Before(next) {
		next = at
	}
	if known.health.aside && known.health.probeAt.After(now) && known.health.probeAt.Before(next) {
		next = known.health.probeAt
	}
	s.wakeServer(known, next)
}

// renew sends a renewal. To a lost backend server it goes without tasks, so that it extends no lease and only finds
// out when the backend server is heard of again.
func (s *Starter) renew(now time.Time, known *server) {
	if !s.recovered || !now.Before(s.right.RenewUntil) || known.state == describer.Gone {
		return
	}
	renewal := RenewLeases{
		Server: known.id, Epoch: s.right.Epoch, LeaseSeconds: int64(s.settings.lease / time.Second),
	}
	if !known.lost {
		for _, t := range known.ordered() {
			if t.sent {
				renewal.Attempts = append(renewal.Attempts, t.name())
			}
		}
		known.leaseUntil = now.Add(CallTimeout + s.settings.lease)
	}
	s.emit(renewal)
}

// lose marks a backend server that is not heard of. Starts that were not sent are cancelled.
func (s *Starter) lose(now time.Time, known *server) {
	if known.lost {
		return
	}
	known.lost = true
	s.place(now, placer.ServerSetAside{Server: known.id})
	for _, t := range known.ordered() {
		switch {
		case t.server != known:
			// The end of another task of its gang job has ended this one as well.
		case t.state == Committing:
			s.stop(now, t)
		default:
			t.state = Lost
			s.checkLost(now, t)
		}
	}
}

// checkLost ends a lost attempt after its lease has expired for certain.
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
	on := t.server
	s.leave(now, t, committer.Lost, "backend server is lost and the lease has expired")
	if on.state == describer.Gone && len(on.tasks) == 0 {
		s.removeServer(on)
	}
}

// hear notes a sign of life. The tasks of a backend server that was lost go on; the next report tells whether they
// still run.
func (s *Starter) hear(now time.Time, known *server) {
	known.heardAt = now
	if !known.lost || known.state == describer.Gone {
		return
	}
	known.lost = false
	if !known.health.aside {
		s.place(now, placer.ServerReadmitted{Server: known.id})
	}
	for _, t := range known.ordered() {
		if t.state != Lost {
			continue
		}
		t.state = Running
		t.wakeAt = time.Time{}
		switch {
		case t.mustLeave || t.withdrawn:
			s.stop(now, t)
		case t.startedAt.IsZero():
			// The start was never answered; it is sent again.
			t.state = Starting
			s.wakeTask(t, now)
		}
	}
	s.renew(now, known)
}

func (s *Starter) renewAnswered(now time.Time, e RenewAnswered) {
	known := s.servers[e.Server]
	if known == nil {
		return
	}
	s.hear(now, known)
	if e.Epoch == s.right.Epoch && known.epochKnown != e.Epoch {
		known.epochKnown, known.epochKnownAt = e.Epoch, now
	}
}

func sortTasks(tasks []*task) {
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Index, b.id.Index))
	})
}
