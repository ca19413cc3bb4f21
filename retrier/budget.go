package retrier

import (
	"math"
	"time"
)

const (
	// budgetHalfLife is the time in which the weight of a success and of a retry halves.
	budgetHalfLife = 5 * time.Second
	// budgetShare is the number of retries that are allowed per recent success if the failed attempts may have run.
	// Retries thus add at most a tenth to the load, and the budget shrinks while no attempt succeeds.
	budgetShare = 0.1
	// minBudget is the budget without any recent success. It allows retries for a service with little traffic.
	minBudget = 3
	// notRunCost is the cost of retrying an attempt that was proven not to have run, which took little slot time. Such
	// retries may thus reach four tenths of the recent successes.
	notRunCost = 0.25
)

// budget limits the retries of one service to a share of its recent successes. Both counts decay exponentially.
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

// spend takes the cost from the budget and reports whether the budget was sufficient.
func (b *budget) spend(now time.Time, cost float64) bool {
	b.decay(now)
	if b.spent+cost > minBudget+budgetShare*b.successes {
		return false
	}
	b.spent += cost
	return true
}
