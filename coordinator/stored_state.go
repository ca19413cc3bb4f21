package coordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/tomb.v2"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/intaker"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/lifecycler"
	"egretring.example/egretring/specifier"
)

// storedState is what a new owner reads from the store.
type storedState struct {
	records map[specifier.JobID]lifecycler.Record
	intake  keeper.Page
	// intakeReadAt is when the read of the intake began.
	intakeReadAt time.Time
	listed       conductor.ServersListed
}

// readStored reads the state of the shard. The reads are concurrent, so that a slow store delays a takeover by the longest of
// them and not by their sum. Since the election, only submissions and cancellations can be added.
func (o *owner) readStored(ctx context.Context) (storedState, error) {
	var stored storedState
	// tomb.WithContext has a data race when the context has ended already.
	var reads tomb.Tomb
	ctx = reads.Context(ctx)
	reads.Go(func() error {
		reads.Go(func() error { return o.readLanes(ctx) })
		reads.Go(func() (err error) {
			stored.records, err = o.readRecords(ctx)
			return err
		})
		reads.Go(func() (err error) {
			stored.intakeReadAt = o.settings.clock.Now()
			stored.intake, err = o.settings.store.List(ctx, intaker.Prefix)
			return errors.Wrap(err, "list submitted jobs")
		})
		reads.Go(func() (err error) {
			stored.listed.Servers, err = o.settings.directory.Servers(ctx)
			return errors.Wrap(err, "list backend servers")
		})
		if o.settings.shards == nil {
			return nil
		}
		// Since the election, only this owner can take servers away from the shard.
		var err error
		stored.listed.Transfers, err = o.readTransfers(ctx)
		return err
	})
	return stored, reads.Wait()
}
