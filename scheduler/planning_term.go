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
)

// planning is the time in which this instance plans under one epoch.
type planning struct {
	*Scheduler
	office *office
	core   *planner.Planner
	book   *planBook
	// applied is the number of the newest ticket that the planner knows; -1 means none.
	applied        int64
	serversVersion int
	zones          []describer.AvailabilityZoneID
	drained        map[describer.AvailabilityZoneID]bool
	nextProgress   time.Time
	// writeFrom is when the plan may be written again.
	writeFrom time.Time
}

// submitPause is how long the plan is not written after a job has changed: two passes of the planner.
const submitPause = 2 * planningTick

// planWhile plans until the right ends.
func (s *Scheduler) planWhile(ctx context.Context, held *office) error {
	p := &planning{
		Scheduler: s, office: held, core: planner.New(), applied: -1,
		drained: make(map[describer.AvailabilityZoneID]bool),
	}
	ticker := time.NewTicker(planningTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if err := s.keepOffice(ctx, held); err != nil {
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

// step takes over what has changed and writes a shard of the plan.
func (p *planning) step(ctx context.Context) error {
	state, err := p.Configuration.State()
	_, version := p.allServers()
	if err != nil || version == 0 {
		return nil
	}
	p.changeZones()
	if p.book == nil {
		if err := p.load(ctx); err != nil {
			return err
		}
	}
	p.readProgress(ctx)
	p.changeState(state)
	p.handle(planner.Ticked{})
	return p.write(ctx)
}

func (p *planning) handle(event planner.Event) {
	for _, command := range p.core.Handle(time.Now(), event) {
		p.book.obey(command)
	}
}

// load restores the plan of the earlier planning member.
func (p *planning) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	page, err := p.Store.List(ctx, planPrefix)
	if err != nil {
		return errors.Wrap(err, "read the plan")
	}
	book := newPlanBook()
	for _, entry := range page.Entries {
		number, shard, err := decodeShard(entry)
		if err != nil {
			return err
		}
		book.load(number, entry, shard)
	}
	p.book = book
	p.handle(planner.PlanRestored{Jobs: book.restored()})
	return nil
}

func (p *planning) changeZones() {
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
	// Before the plan is loaded the planner has no jobs, so it gives no commands.
	p.handle(planner.ZonesChanged{Zones: zones})
}

func zonesOf(servers []describer.BackendServer) []planner.Zone {
	shapes := make(map[describer.AvailabilityZoneID]map[describer.Resources]int)
	for _, server := range servers {
		if shapes[server.AvailabilityZone] == nil {
			shapes[server.AvailabilityZone] = make(map[describer.Resources]int)
		}
		if server.State == describer.Live {
			shapes[server.AvailabilityZone][server.Capacity]++
		}
	}
	var zones []planner.Zone
	for id, counts := range shapes {
		zone := planner.Zone{ID: id}
		for capacity, count := range counts {
			zone.Shapes = append(zone.Shapes, planner.Shape{Capacity: capacity, Count: count})
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

// changeState gives the planner the quotas, jobs and drained zones of a newer configuration.
func (p *planning) changeState(state ticketer.State) {
	if state.Applied() == p.applied {
		return
	}
	p.applied = state.Applied()
	p.handle(planner.QuotasChanged{Quotas: state.Quotas()})
	wanted := make(map[describer.JobID]bool)
	for _, job := range state.Jobs() {
		wanted[job.ID] = true
		if known, ok := p.book.submitted(job.ID); !ok || !reflect.DeepEqual(known, job) {
			p.submit(job)
		}
	}
	for _, id := range p.book.jobIDs() {
		if _, submitted := p.book.submitted(id); submitted && !wanted[id] {
			p.handle(planner.JobWithdrawn{Job: id})
			p.book.withdraw(id)
		}
	}
	for _, zone := range p.zones {
		p.drain(zone, state.IsZoneDrained(zone))
	}
}

// submit gives the planner a new or changed job. The planner takes a changed job's tasks back and assigns them again; the
// plan in between is not written, so that tasks that stay in their zone keep running.
func (p *planning) submit(job describer.Job) {
	finished := p.book.submit(job, max(1, p.applied))
	p.handle(planner.JobSubmitted{Job: job})
	if len(finished) > 0 {
		p.handle(planner.TasksFinished{Job: job.ID, Indices: finished})
		p.book.dropFinished(job.ID)
	}
	p.writeFrom = time.Now().Add(submitPause)
}

// drain moves the tasks out of a drained zone at once: other zones start them only after it has confirmed that they
// have left.
func (p *planning) drain(zone describer.AvailabilityZoneID, drained bool) {
	switch {
	case drained && !p.drained[zone]:
		p.handle(planner.ZoneLost{Zone: zone, SafeAt: time.Now()})
	case !drained && p.drained[zone]:
		p.handle(planner.ZoneReturned{Zone: zone})
	}
	p.drained[zone] = drained
}

// readProgress reads what the zones report. A zone that cannot be read has no news.
func (p *planning) readProgress(ctx context.Context) {
	now := time.Now()
	if now.Before(p.nextProgress) {
		return
	}
	p.nextProgress = now.Add(progressInterval)
	for _, zone := range p.zones {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		entry, err := p.Store.Get(limited, progressKey(zone))
		cancel()
		if err != nil {
			return
		}
		var progress Progress
		if entry.Version == 0 || json.Unmarshal(entry.Value, &progress) != nil {
			continue
		}
		for _, job := range progress.Jobs {
			if finished := p.book.finish(job); len(finished) > 0 {
				p.handle(planner.TasksFinished{Job: job.Job, Indices: finished})
			}
			p.book.left(zone, job)
		}
	}
}

// write writes the shard that has waited longest. A conflict is this member's own write, whose answer was lost, or
// another planning member.
func (p *planning) write(ctx context.Context) error {
	if now := time.Now(); now.Before(p.writeFrom) || !p.office.valid(now) {
		return nil
	}
	pending, ok := p.book.next(p.office.epoch)
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
		p.book.done(pending, entry)
	}
	return nil
}
