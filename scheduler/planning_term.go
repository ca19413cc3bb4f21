package scheduler

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/planner"
	"egretring.example/egretring/ticketer"
	"egretring.example/egretring/watchdog"
)

// planningTerm is the period in which this instance is the planning member under one epoch.
type planningTerm struct {
	*Scheduler
	plannerLease *plannerLease
	planner      *planner.Planner
	table        *planTable
	// appliedTicket is the number of the newest ticket that the planner has received; -1 means none.
	appliedTicket  int64
	serversVersion int
	zones          []describer.AvailabilityZoneID
	drained        map[describer.AvailabilityZoneID]bool
	nextProgress   time.Time
}

// runPlanningTerm plans until the lease is lost, a step fails or the context ends.
func (s *Scheduler) runPlanningTerm(ctx context.Context, held *plannerLease) error {
	p := &planningTerm{
		Scheduler: s, plannerLease: held, planner: planner.New(), appliedTicket: -1,
		drained: make(map[describer.AvailabilityZoneID]bool),
	}
	ticker := time.NewTicker(planningTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := s.renewPlannerLease(ctx, held); err != nil {
			return err
		}
		if err := p.step(ctx); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return nil
}

// step gives the planner what has changed in the backend servers, the zones' progress and the configuration, and writes
// at most one shard of the plan. It does nothing until the configuration and the backend servers are known.
func (p *planningTerm) step(ctx context.Context) error {
	state, err := p.Configuration.State()
	_, version := p.allServers()
	if err != nil || version == 0 {
		return nil
	}
	p.changeZones()
	if p.table == nil {
		if err := p.load(ctx); err != nil {
			return err
		}
	}
	p.readProgress(ctx)
	p.applyConfiguration(state)
	p.handle(planner.Ticked{})
	return p.write(ctx)
}

func (p *planningTerm) handle(event planner.Event) {
	for _, command := range p.planner.Handle(time.Now(), event) {
		p.table.execute(command)
	}
}

// load reads the plan of the earlier planning member and gives it to the new planner.
func (p *planningTerm) load(ctx context.Context) error {
	ctx, progress := watchdog.Watch(ctx, 0, storeTimeout)
	defer progress.Stop()
	page, err := p.Store.List(ctx, planPrefix)
	if err != nil {
		return errors.Wrap(err, "read the plan")
	}
	table := newPlanTable()
	for _, entry := range page.Entries {
		number, shard, err := decodeShard(entry)
		if err != nil {
			return err
		}
		table.load(number, entry, shard)
	}
	p.table = table
	p.handle(planner.PlanRestored{Jobs: table.restored()})
	return nil
}

func (p *planningTerm) changeZones() {
	servers, version := p.allServers()
	if version == p.serversVersion {
		return
	}
	p.serversVersion = version
	zones := zonesOf(servers)
	p.zones = p.zones[:0]
	for _, zone := range zones {
		p.zones = append(p.zones, zone.ID)
	}
	// Before the plan is loaded the planner has no jobs, so it returns no commands.
	p.handle(planner.ZonesChanged{Zones: zones})
}

// zonesOf returns the zones of the backend servers; only live backend servers count as capacity.
func zonesOf(servers []describer.BackendServer) []planner.Zone {
	groups := make(map[describer.AvailabilityZoneID]map[describer.Resources]int)
	for _, server := range servers {
		if groups[server.AvailabilityZone] == nil {
			groups[server.AvailabilityZone] = make(map[describer.Resources]int)
		}
		if server.State == describer.Live {
			groups[server.AvailabilityZone][server.Capacity]++
		}
	}
	var zones []planner.Zone
	for id, counts := range groups {
		zone := planner.Zone{ID: id}
		for capacity, count := range counts {
			zone.ServerGroups = append(zone.ServerGroups, planner.ServerGroup{Capacity: capacity, Count: count})
		}
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b planner.Zone) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return zones
}

// applyConfiguration gives the planner the quotas, jobs and drained zones of a newer configuration.
func (p *planningTerm) applyConfiguration(state ticketer.State) {
	if state.Applied() == p.appliedTicket {
		return
	}
	p.appliedTicket = state.Applied()
	p.handle(planner.QuotasChanged{Quotas: state.Quotas()})
	wanted := make(map[describer.JobID]bool)
	for _, job := range state.Jobs() {
		wanted[job.ID] = true
		if known, ok := p.table.submitted(job.ID); !ok || !reflect.DeepEqual(known, job) {
			p.submit(job)
		}
	}
	for _, id := range p.table.jobIDs() {
		if _, submitted := p.table.submitted(id); submitted && !wanted[id] {
			p.handle(planner.JobWithdrawn{Job: id})
			p.table.withdraw(id)
		}
	}
	for _, zone := range p.zones {
		p.setZoneDrained(zone, state.IsZoneDrained(zone))
	}
}

// submit gives the planner a new or changed job. The planner withdraws a changed job's tasks and assigns them again.
// The plan in between is not written, so that tasks that stay in their zone keep running.
func (p *planningTerm) submit(job describer.Job) {
	finished := p.table.submit(job, max(1, p.appliedTicket))
	p.handle(planner.JobSubmitted{Job: job})
	if len(finished) > 0 {
		p.handle(planner.TasksFinished{Job: job.ID, Indices: finished})
		p.table.dropFinished(job.ID)
	}
	p.table.postpone(time.Now(), planShardOf(job.ID))
}

// setZoneDrained makes the planner move tasks out of a newly drained zone immediately: other zones start them only
// after the drained zone has confirmed that they have left. It makes a zone that is no longer drained available again.
func (p *planningTerm) setZoneDrained(zone describer.AvailabilityZoneID, drained bool) {
	switch {
	case drained && !p.drained[zone]:
		p.handle(planner.ZoneUnavailable{Zone: zone, SafeAt: time.Now()})
	case !drained && p.drained[zone]:
		p.handle(planner.ZoneAvailable{Zone: zone})
	}
	p.drained[zone] = drained
}

// readProgress reads the progress reports of the zones. An error ends this round; the next one reads all zones again.
func (p *planningTerm) readProgress(ctx context.Context) {
	now := time.Now()
	if now.Before(p.nextProgress) {
		return
	}
	p.nextProgress = now.Add(progressInterval)
	for _, zone := range p.zones {
		limited, watched := watchdog.Watch(ctx, 0, storeTimeout)
		entry, err := p.Store.Get(limited, progressKey(zone))
		watched.Stop()
		if err != nil {
			return
		}
		var progress Progress
		if entry.Version == 0 || json.Unmarshal(entry.Value, &progress) != nil {
			continue
		}
		for _, job := range progress.Jobs {
			if finished := p.table.finish(job); len(finished) > 0 {
				p.handle(planner.TasksFinished{Job: job.Job, Indices: finished})
			}
			p.table.confirmLeft(zone, job)
		}
	}
}

// write writes the shard that has waited longest. A conflict means that this member's own earlier write took effect but
// its response was lost, or that another planning member has written the shard.
func (p *planningTerm) write(ctx context.Context) error {
	now := time.Now()
	if !p.plannerLease.valid(now) {
		return nil
	}
	pending, ok := p.table.nextWrite(now, p.plannerLease.epoch)
	if !ok {
		return nil
	}
	body, err := json.Marshal(pending.shard)
	if err != nil {
		return errors.Wrap(err, "encode a plan shard")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := planKey(pending.number)
	entry, err := p.Store.Put(ctx, keeper.PutOptions{Key: key, Value: body, Version: pending.version})
	if keeper.IsErrConflict(err) {
		if entry, err = p.Store.Get(ctx, key); err != nil {
			return nil
		}
		_, found, decodeErr := decodeShard(entry)
		if decodeErr != nil || found.WriteID != pending.shard.WriteID {
			return errors.Wrapf(errPlannerFenced, "key %q was written under epoch %d", key, found.Epoch)
		}
	}
	if err == nil {
		p.table.completeWrite(pending, entry)
	}
	return nil
}
