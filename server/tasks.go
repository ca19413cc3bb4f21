package server

import (
	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/reporter"
	"egretring.example/egretring/scheduler"
)

// newTasks returns the scheduler, which plans and places tasks.
func newTasks(d *Daemon) *scheduler.Scheduler {
	return scheduler.New(scheduler.Options{
		Instance: d.self.ID, Zone: d.self.AvailabilityZone, Store: d.store, Membership: taskMembership{d.membership},
		Configuration: d.distributor, Logger: d.logger,
		Connect: func(server describer.BackendServer) forwarder.TaskServer {
			return forwarder.NewTaskClient(server.Address, d.control)
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

// setTaskServers passes the backend servers of all zones to the scheduler, with the drained ones marked as leaving. An
// empty list is ignored: it is assumed that the instance list has not been read yet.
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

// taskMembership gives the scheduler the assignment and the right to place tasks. There is no right before the registrar
// has been created.
type taskMembership struct {
	membership *membership
}

var _ scheduler.Membership = taskMembership{}

// Assignment implements scheduler.Membership.
func (m taskMembership) Assignment() assigner.Assignment {
	if member := m.membership.registrar.Load(); member != nil {
		return member.Assignment()
	}
	return assigner.Assignment{}
}

// Owner implements scheduler.Membership.
func (m taskMembership) Owner() assigner.Owner {
	if member := m.membership.registrar.Load(); member != nil {
		return member.Owner()
	}
	return assigner.Owner{}
}

// Right implements scheduler.Membership.
func (m taskMembership) Right() assigner.Right {
	if member := m.membership.registrar.Load(); member != nil {
		return member.Right()
	}
	return assigner.Right{}
}
