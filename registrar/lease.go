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

// errOccupied says that the member key belongs to another lease, for example of the previous start of this instance.
var errOccupied = errors.New("member key belongs to another lease")

// memberLease is the store lease of one incarnation with the member key attached to it.
type memberLease struct {
	store       keeper.Store
	zone        describer.AvailabilityZoneID
	id          keeper.LeaseID
	incarnation describer.Incarnation
	// before is a time before the last call that started the time to live anew.
	before  time.Time
	written bool
	startID string
}

// runLease grants and renews the lease.
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

// renew keeps the lease for the present incarnation and returns when to call it again.
func (r *Registrar) renew(ctx context.Context, lease *memberLease) time.Duration {
	self := r.owner()
	if lease.incarnation != self.Incarnation {
		lease.revoke(ctx)
		*lease = memberLease{store: lease.store, zone: lease.zone, incarnation: self.Incarnation, startID: rand.Text()}
	}
	err := lease.extend(ctx)
	if keeper.IsErrLeaseLapsed(err) {
		r.post(ctx, assigner.LeaseLost{})
		lease.id, lease.written = 0, false
		err = lease.extend(ctx)
	}
	if err == nil {
		err = lease.write(ctx, r.memberRecord(self, lease.startID))
	}
	r.reportHealth(ctx, renewals, err == nil || errors.Is(err, errOccupied))
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
	return r.core.Self().Owner
}

func (r *Registrar) memberRecord(self assigner.Owner, writeID string) MemberRecord {
	return MemberRecord{Owner: self, Address: r.self.PeerAddress, StartedAt: time.Now().UTC(), WriteID: writeID}
}

// extend renews the lease, or grants one.
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

// write creates the member key. A key that exists is never overwritten: its lease must lapse first, so that the
// absence of a key proves that no earlier lease of the instance is left.
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

// recognise reads the key after a write that failed, because the answer to an earlier write may have been lost.
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
	return errOccupied
}

// revoke ends the lease. The answer does not matter: the lease lapses without it.
func (l *memberLease) revoke(ctx context.Context) {
	if l.id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, l.id)
	l.id, l.written = 0, false
}
