package registrar

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/assigner"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/keeper"
)

// errKeyOccupied is returned when the member key belongs to another lease, for example that of the previous incarnation
// of this instance.
var errKeyOccupied = errors.New("member key belongs to another lease")

// memberLease is the store lease of one incarnation with the member key attached to it.
type memberLease struct {
	store       keeper.Store
	zone        describer.AvailabilityZoneID
	id          keeper.LeaseID
	incarnation describer.Incarnation
	// before is a time before the last call that granted or renewed the lease.
	before time.Time
	// written is true when the member key has been created under this lease.
	written bool
	// writeID is the nonce with which this incarnation writes the member key.
	writeID string
}

// runLease acquires and renews the lease until the instance has left or the registrar stops.
func (r *Registrar) runLease(ctx context.Context) error {
	lease := &memberLease{store: r.store, zone: r.self.AvailabilityZone}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.renewNow.Items():
		case <-r.departed:
			lease.revoke(ctx)
			return nil
		case <-ctx.Done():
			return nil
		}
		timer.Reset(r.renew(ctx, lease))
	}
}

// renew acquires or renews the lease of the current incarnation and returns the time until the next call.
func (r *Registrar) renew(ctx context.Context, lease *memberLease) time.Duration {
	self := r.owner()
	if lease.incarnation != self.Incarnation {
		lease.revoke(ctx)
		*lease = memberLease{store: lease.store, zone: lease.zone, incarnation: self.Incarnation, writeID: rand.Text()}
	}
	err := lease.extend(ctx)
	if keeper.IsErrLeaseExpired(err) {
		r.post(ctx, assigner.LeaseLost{})
		lease.id, lease.written = 0, false
		err = lease.extend(ctx)
	}
	if err == nil {
		err = lease.write(ctx, r.memberRecord(self, lease.writeID))
	}
	r.reportHealth(ctx, leaseRenewals, err == nil || errors.Is(err, errKeyOccupied))
	if err != nil {
		r.hooks.logger.Warn("store lease not renewed", "Error", err.Error())
		return retryInterval
	}
	r.post(ctx, assigner.LeaseRenewed{Incarnation: self.Incarnation, Lease: int64(lease.id), Before: lease.before})
	return renewInterval
}

func (r *Registrar) owner() assigner.Owner {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.assigner.Self().Owner
}

func (r *Registrar) memberRecord(self assigner.Owner, writeID string) MemberRecord {
	return MemberRecord{Owner: self, Address: r.self.PeerAddress, StartedAt: time.Now().UTC(), WriteID: writeID}
}

// extend renews the lease, or acquires one if there is none.
func (l *memberLease) extend(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	before := time.Now()
	if l.id != 0 {
		if err := l.store.Renew(ctx, l.id); err != nil {
			return err
		}
		l.before = before
		return nil
	}
	id, err := l.store.Grant(ctx, assigner.LeaseTTL)
	if err != nil {
		return err
	}
	l.id, l.before = id, before
	return nil
}

// write creates the member key. An existing key is never overwritten: its lease must expire first, so that the absence
// of the key proves that no earlier incarnation of the instance has a lease.
func (l *memberLease) write(ctx context.Context, member MemberRecord) error {
	if l.written {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(member)
	if err != nil {
		return errors.Wrap(err, "encode member record")
	}
	key := membersPrefix(l.zone) + string(member.Instance)
	_, err = l.store.Put(ctx, keeper.PutOptions{Key: key, Value: value, Lease: l.id})
	if err != nil {
		err = l.recognise(ctx, key, member, err)
	}
	l.written = err == nil
	return err
}

// recognise reads the key after a failed write, because an earlier write may have taken effect although its response
// was lost. It returns nil if the key was written under this lease.
func (l *memberLease) recognise(ctx context.Context, key string, member MemberRecord, cause error) error {
	entry, err := l.store.Get(ctx, key)
	if err != nil || entry.Version == 0 {
		return cause
	}
	found, err := decodeMember(entry)
	if err != nil {
		return err
	}
	if found.WriteID == member.WriteID && entry.Lease == l.id {
		return nil
	}
	return errKeyOccupied
}

// revoke ends the lease. Errors are ignored, because the lease expires anyway.
func (l *memberLease) revoke(ctx context.Context) {
	if l.id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
	l.id, l.written = 0, false
}
