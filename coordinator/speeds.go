package coordinator

import (
	"context"
	"encoding/json"
	"time"

	"egretring.example/egretring/conductor"
	"egretring.example/egretring/keeper"
	"egretring.example/egretring/timekeeper"
)

// readSpeedsAttempts bounds the reads of the stored speeds. After some seconds the owner has learned them itself.
const readSpeedsAttempts = 20

// recordTimeout bounds a write of the speeds. The next one follows after five seconds.
const recordTimeout = 3 * time.Second

// recordSpeeds stores the speeds of servers for the next owner. A write that fails is not repeated, because the next one follows.
func (o *owner) recordSpeeds(ctx context.Context, c conductor.RecordSpeeds) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	value, err := json.Marshal(c.Speeds)
	if err == nil {
		_, err = o.settings.store.Commit(ctx, keeper.Transaction{
			Conditions: []keeper.Condition{o.ownership.Condition()}, Writes: []keeper.Write{{Key: speedsKey, Value: value}},
		})
	}
	if err != nil {
		o.settings.meter.Count("Store.SpeedWriteFailures", 1)
	}
}

// readSpeeds passes the speeds that an earlier owner has stored to the state machine. The owner begins without waiting for them.
func (o *owner) readSpeeds(ctx context.Context) {
	for attempt := 0; attempt < readSpeedsAttempts && ctx.Err() == nil; attempt++ {
		entry, err := o.settings.store.Get(ctx, speedsKey)
		if err != nil {
			timekeeper.Sleep(ctx, retryInterval)
			continue
		}
		if entry.Revision == 0 {
			return
		}
		var speeds []conductor.ServerSpeed
		if err := json.Unmarshal(entry.Value, &speeds); err != nil {
			o.settings.logger.Error("failed to decode stored speeds of servers", "Error", err.Error())
			return
		}
		o.post(conductor.SpeedsRead{Speeds: speeds})
		return
	}
}
