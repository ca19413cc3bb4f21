package server

import (
	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/scheduler"
)

// newTasks returns the part of the daemon that places and plans tasks.
func newTasks(d *Daemon) *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{
		Instance: d.self.ID, Zone: d.self.AvailabilityZone, Store: d.store, Membership: placing{d.membership},
		Configuration: d.distributor, Logger: d.logger,
		Connect: func(server describer.BackendServer) forwarder.TaskServer {
			return forwarder.NewTaskClient(server.Address, d.http)
		},
	})
}

// taskViews supplies the operators' views of jobs, tasks and teams.
func (d *Daemon) taskViews() []reporter.Option {
	return []reporter.Option{
		reporter.WithJobs(d.tasks), reporter.WithTasks(d.tasks), reporter.WithTeams(d.tasks),
		reporter.WithReasons(d.tasks),
	}
}

// setTaskServers gives the backend servers of all zones to the placing of tasks; drained ones count as leaving. An
// empty instance list is taken for one that has not been read.
func (d *Daemon) setTaskServers(servers []describer.BackendServer) {
	state, err := d.distributor.State()
	if err != nil || len(servers) == 0 {
		return
	}
	marked := make([]describer.BackendServer, len(servers))
	for i, server := range servers {
		if state.IsServerDrained(server) && server.State == describer.Live {
			server = server.WithState(describer.Leaving)
		}
		marked[i] = server
	}
	d.tasks.SetServers(marked)
}

// placing is the right to place tasks; there is none before the instance has registered.
type placing struct {
	membership *membership
}

var _ scheduler.Membership = placing{}

// Assignment implements scheduler.Membership.
func (p placing) Assignment() assigner.Assignment {
	if member := p.membership.registrar.Load(); member != nil {
		return member.Assignment()
	}
	return assigner.Assignment{}
}

// Owner implements scheduler.Membership.
func (p placing) Owner() assigner.Owner {
	if member := p.membership.registrar.Load(); member != nil {
		return member.Owner()
	}
	return assigner.Owner{}
}

// Right implements scheduler.Membership.
func (p placing) Right() assigner.Right {
	if member := p.membership.registrar.Load(); member != nil {
		return member.Right()
	}
	return assigner.Right{}
}
