package reporter

import (
	"context"
	"slices"

	"egretring.example/egretring/describer"
)

// Services returns all services with their loads.
func (r *Reporter) Services(ctx context.Context) ([]ServiceView, error) {
	state, err := r.configuration.State()
	if err != nil {
		return nil, err
	}
	var loads []ServiceLoad
	if r.services != nil {
		if loads, err = r.services.ServiceLoads(ctx); err != nil {
			return nil, err
		}
	}
	views := []ServiceView{}
	for _, service := range state.Services() {
		views = append(views, ServiceView{Service: service, Load: loadOf(loads, service.ID)})
	}
	return views, nil
}

func loadOf(loads []ServiceLoad, id describer.ServiceID) ServiceLoad {
	index := slices.IndexFunc(loads, func(load ServiceLoad) bool { return load.Service == id })
	if index < 0 {
		return ServiceLoad{Service: id}
	}
	return loads[index]
}

// Jobs returns the selected jobs. A job that the job source does not know yet is shown with all its tasks waiting.
func (r *Reporter) Jobs(ctx context.Context, query JobQuery) ([]JobView, error) {
	state, err := r.configuration.State()
	if err != nil {
		return nil, err
	}
	known := make(map[describer.JobID]JobView)
	if r.jobs != nil {
		views, err := r.jobs.Jobs(ctx)
		if err != nil {
			return nil, err
		}
		for _, view := range views {
			known[view.Job.ID] = view
		}
	}
	views := []JobView{}
	for _, job := range state.Jobs() {
		view, ok := known[job.ID]
		if !ok {
			view = JobView{Job: job, Waiting: job.Tasks}
		}
		views = append(views, view)
	}
	return filter(views, query.selects), nil
}

func (q JobQuery) selects(view JobView) bool {
	return matches(q.Team, view.Job.Team) &&
		matches(q.AvailabilityZone, view.AvailabilityZone) &&
		matches(q.Policy, view.Job.Policy)
}

// Tasks returns the selected tasks.
func (r *Reporter) Tasks(ctx context.Context, query TaskQuery) ([]TaskView, error) {
	if r.tasks == nil {
		return []TaskView{}, nil
	}
	views, err := r.tasks.Tasks(ctx, query)
	return filter(views, query.selects), err
}

func (q TaskQuery) selects(view TaskView) bool {
	return matches(q.Job, view.Task.Job) &&
		matches(q.AvailabilityZone, view.AvailabilityZone) &&
		matches(q.BackendServer, view.BackendServer) &&
		matches(q.State, view.State)
}

// Servers returns the selected backend servers.
func (r *Reporter) Servers(ctx context.Context, query ServerQuery) ([]ServerView, error) {
	if r.servers == nil {
		return []ServerView{}, nil
	}
	views, err := r.servers.Servers(ctx)
	if err != nil {
		return nil, err
	}
	state, err := r.configuration.State()
	if err != nil {
		return nil, err
	}
	for i, view := range views {
		views[i].Drained = state.IsServerDrained(describer.BackendServer{
			ID: view.BackendServer, AvailabilityZone: view.AvailabilityZone,
		})
	}
	return filter(views, query.selects), nil
}

func (q ServerQuery) selects(view ServerView) bool {
	return matches(q.AvailabilityZone, view.AvailabilityZone) && matches(q.State, view.State)
}

// Zones returns all availability zones.
func (r *Reporter) Zones(ctx context.Context) ([]ZoneView, error) {
	if r.zones == nil {
		return []ZoneView{}, nil
	}
	views, err := r.zones.Zones(ctx)
	if err != nil {
		return nil, err
	}
	// An instance that is not ready has no configuration, but still shows its zones.
	state, _ := r.configuration.State()
	for i, view := range views {
		views[i].Drained = state.IsZoneDrained(view.AvailabilityZone)
	}
	return views, nil
}

// Teams returns all teams that have a quota or any usage.
func (r *Reporter) Teams(ctx context.Context) ([]TeamView, error) {
	state, err := r.configuration.State()
	if err != nil {
		return nil, err
	}
	views := []TeamView{}
	if r.teams != nil {
		if views, err = r.teams.Teams(ctx); err != nil {
			return nil, err
		}
	}
	for _, quota := range state.Quotas() {
		if !slices.ContainsFunc(views, func(view TeamView) bool { return view.Team == quota.Team }) {
			views = append(views, TeamView{Team: quota.Team, Quota: quota})
		}
	}
	return views, nil
}

// matches reports whether a value equals the wanted one; an empty wanted value matches every value.
func matches[T ~string](wanted, value T) bool {
	return wanted == "" || wanted == value
}

func filter[T any](values []T, selects func(T) bool) []T {
	selected := []T{}
	for _, value := range values {
		if selects(value) {
			selected = append(selected, value)
		}
	}
	return selected
}
