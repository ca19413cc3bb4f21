package registrar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// runWatch watches the assignment record and requests a read of the zone after each change. Only its key is watched,
// because the task records below Zones/<zone>/ change several times a second.
func (r *Registrar) runWatch(ctx context.Context) error {
	var revision int64
	for ctx.Err() == nil {
		changes, err := r.watch(ctx, revision)
		if errors.Is(err, keeper.ErrCompacted) {
			revision = 0
		}
		if err != nil {
			// The periodic reads continue in the meantime.
			timekeeper.Sleep(ctx, retryInterval)
			continue
		}
		revision = changes.Revision
		if len(changes.Changes) > 0 {
			wake(r.readNow)
		}
	}
	return nil
}

// watch waits for a change. It is bounded by watchTimeout, so that a watch whose connection was lost without an error
// is started again.
func (r *Registrar) watch(ctx context.Context, revision int64) (keeper.Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	return r.store.Watch(ctx, assignmentKey(r.self.AvailabilityZone), revision)
}

// runReader reads the zone after changes and every readInterval.
func (r *Registrar) runReader(ctx context.Context) error {
	ticker := time.NewTicker(readInterval)
	defer ticker.Stop()
	for {
		read, err := r.readZone(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			r.post(ctx, read)
		}
		r.reportHealth(ctx, zoneReads, err == nil)
		select {
		case <-ticker.C:
		case <-r.readNow.Items():
		case <-ctx.Done():
			return nil
		}
	}
}

// readZone reads the record and then the members' leases. A takeover relies on this order; see assigner.ZoneRead.
func (r *Registrar) readZone(ctx context.Context) (assigner.ZoneRead, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.store.Get(ctx, assignmentKey(r.self.AvailabilityZone))
	if err != nil {
		return assigner.ZoneRead{}, errors.Wrap(err, "read assignment")
	}
	record, err := decodeAssignment(entry)
	if err != nil {
		return assigner.ZoneRead{}, err
	}
	page, err := r.store.List(ctx, membersPrefix(r.self.AvailabilityZone))
	if err != nil {
		return assigner.ZoneRead{}, errors.Wrap(err, "list members")
	}
	read := assigner.ZoneRead{Record: record, Version: entry.Version}
	for _, entry := range page.Entries {
		member, err := decodeMember(entry)
		if err != nil {
			return assigner.ZoneRead{}, err
		}
		read.Leases = append(read.Leases, member.Owner)
	}
	return read, nil
}

// runWriter writes the record when the state machine requests it.
func (r *Registrar) runWriter(ctx context.Context) error {
	for {
		select {
		case write := <-r.writes.Items():
			r.post(ctx, r.write(ctx, write))
			wake(r.readNow)
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Registrar) write(ctx context.Context, write assigner.WriteAssignment) assigner.WriteCompleted {
	event := assigner.WriteCompleted{WriteID: write.Record.WriteID, Result: assigner.Conflicted}
	value, err := json.Marshal(write.Record)
	if err != nil {
		r.hooks.logger.Error("assignment not encoded", "Error", err.Error())
		return event
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := r.store.Put(ctx, keeper.PutOptions{
		Key: assignmentKey(r.self.AvailabilityZone), Value: value, Version: write.Version,
	})
	switch {
	case err == nil:
		event.Result, event.Version = assigner.Written, entry.Version
	case !keeper.IsErrConflict(err):
		event.Result = assigner.ResponseLost
	}
	return event
}
