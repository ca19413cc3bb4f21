package scheduler

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/committer"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// progressInterval is the time between two reports of a zone's progress that differ.
const progressInterval = time.Second

// claimProgress writes an empty progress under the epoch of the term, so that no earlier member can report any more.
func (t *term) claimProgress(ctx context.Context) error {
	_, err := t.writeProgress(ctx, Progress{})
	return err
}

// writeProgress replaces the progress unless a newer member has written it.
func (t *term) writeProgress(ctx context.Context, progress Progress) (keeper.Entry, error) {
	key := progressKey(t.Zone)
	known, err := t.Store.Get(ctx, key)
	if err != nil {
		return known, errors.Wrap(err, "read the zone's progress")
	}
	if known.Version > 0 {
		var found Progress
		if err := json.Unmarshal(known.Value, &found); err != nil {
			return known, errors.Wrapf(err, "decode key %q", key)
		}
		if found.Epoch > t.epoch {
			return known, errors.Wrapf(committer.ErrFenced, "key %q was written under epoch %d", key, found.Epoch)
		}
	}
	progress.WriteID, progress.Epoch = rand.Text(), t.epoch
	body, err := json.Marshal(progress)
	if err != nil {
		return known, errors.Wrap(err, "encode the zone's progress")
	}
	written, err := t.Store.Put(ctx, keeper.PutOptions{Key: key, Value: body, Version: known.Version})
	return written, errors.Wrap(err, "write the zone's progress")
}

// runProgress writes the progress when it has changed. A write whose answer was lost is repeated, which is harmless.
func (t *term) runProgress(ctx context.Context) error {
	var written []JobProgress
	for {
		select {
		case progress := <-t.reports.Items():
			if reflect.DeepEqual(progress.Jobs, written) {
				continue
			}
			limited, cancel := context.WithTimeout(ctx, storeTimeout)
			_, err := t.writeProgress(limited, progress)
			cancel()
			if committer.IsErrFenced(err) {
				return nil
			}
			if err == nil {
				written = progress.Jobs
			}
			timekeeper.Sleep(ctx, progressInterval)
		case <-ctx.Done():
			return nil
		}
	}
}

// offerProgress gives the present progress to the goroutine that writes it, unless that still has the one before.
func (t *term) offerProgress() {
	jobs := t.applied.progress(t.core)
	slices.SortFunc(jobs, func(a, b JobProgress) int { return cmp.Compare(a.Job, b.Job) })
	_ = t.reports.Offer(Progress{Jobs: jobs})
}
