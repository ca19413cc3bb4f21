package retrier

import (
	"math"
	"time"
)

const (
	// budgetHalfLife is how long a success counts in full or in part.
	budgetHalfLife = 5 * time.Second
	// budgetShare of the recent successes may be spent on retries after an attempt that may have run. Retries thus add
	// at most a tenth to the load, and the budget shrinks while nothing succeeds.
	budgetShare = 0.1
	// budgetFloor lets a service with little traffic retry at all.
	budgetFloor = 3
	// provenCost is the cost of repeating an attempt that was proven not to have run: it took little slot time. Such
	// retries may reach four tenths of the recent successes.
	provenCost = 0.25
)

// budget limits the retries of one service to a share of its recent successes.
type budget struct {
	successes float64
	spent     float64
	updated   time.Time
}

func (b *budget) decay(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed.Seconds() / budgetHalfLife.Seconds())
	b.successes *= factor
	b.spent *= factor
	b.updated = now
}

func (b *budget) succeed(now time.Time) {
	b.decay(now)
	b.successes++
}

// spend takes the cost from the budget and reports whether it was there.
func (b *budget) spend(now time.Time, cost float64) bool {
	b.decay(now)
	if b.spent+cost > budgetFloor+budgetShare*b.successes {
		return false
	}
	b.spent += cost
	return true
}
