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

// progressInterval is the least time between two writes of a zone's progress, which is written only when it has
// changed.
const progressInterval = time.Second

// claimProgress writes an empty progress report under the epoch of the term, which fences the reports of earlier
// placing members.
func (t *placingTerm) claimProgress(ctx context.Context) error {
	_, err := t.writeProgress(ctx, Progress{})
	return err
}

// writeProgress replaces the zone's progress report unless a newer placing member has written it.
func (t *placingTerm) writeProgress(ctx context.Context, progress Progress) (keeper.Entry, error) {
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

// runProgress writes the progress report when it has changed. After a failed write, the next report is written even if
// it is the same; if only the response was lost, repeating the write is harmless.
func (t *placingTerm) runProgress(ctx context.Context) error {
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

// offerProgress passes the current progress to the goroutine that writes it, unless an earlier report still waits
// there.
func (t *placingTerm) offerProgress() {
	jobs := t.applied.progress(t.starter)
	slices.SortFunc(jobs, func(a, b JobProgress) int { return cmp.Compare(a.Job, b.Job) })
	_ = t.reports.Offer(Progress{Jobs: jobs})
}
