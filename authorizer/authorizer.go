package authorizer

import (
	"time"

	"egretring.example/egretring/specifier"
)

// marginShare is the share of a bound that is not used, for the way of a call to the instance and for clocks that run at slightly
// different rates.
const marginShare = 0.1

// Bounds are the times that the settings of a deployment give. The zero value requires no freshness.
type Bounds struct {
	// Revocation is how long a revoked key may work after the configuration without it was confirmed; zero is without bound.
	Revocation time.Duration
	// Configuration is the time within which a confirmed configuration must be in force. Without it, Revocation applies.
	Configuration time.Duration
}

// Strict reports whether keys are accepted only while the configuration is shown to be fresh.
func (b Bounds) Strict() bool {
	return b.Revocation > 0
}

// MaxAge returns the age of a proof up to which keys are accepted.
func (b Bounds) MaxAge() time.Duration {
	return withoutMargin(b.Revocation)
}

// MaxAgeOfRefusal returns the age of a proof below which unknown keys are refused for good. It is never above MaxAge.
func (b Bounds) MaxAgeOfRefusal() time.Duration {
	if b.Configuration <= 0 {
		return b.MaxAge()
	}
	return min(withoutMargin(b.Configuration), b.MaxAge())
}

func withoutMargin(bound time.Duration) time.Duration {
	return bound - time.Duration(float64(bound)*marginShare)
}

// Freshness is how long ago the configuration was shown to be the newest.
type Freshness struct {
	// Proven is false if that was never shown.
	Proven bool
	// Age is negative only if the clock has stepped back, which makes the proof worthless.
	Age time.Duration
}

func (f Freshness) within(age time.Duration) bool {
	return f.Proven && f.Age >= 0 && f.Age <= age
}

// Call is what of a call matters for the decision.
type Call struct {
	// Key is empty if the call carries none.
	Key string
	// Public is set if the queue of the call needs no key.
	Public bool
}

// Verdict is the result of a decision.
type Verdict int

// The verdicts.
const (
	Accepted Verdict = iota
	// UnknownKey means that the key is missing or belongs to no team.
	UnknownKey
	// NotFresh means that the configuration was not shown to be fresh enough to accept the key or to refuse it for good.
	NotFresh
)

// Decision is a verdict and, for an accepted call, its caller.
type Decision struct {
	Verdict Verdict
	Caller  specifier.Caller
}

// Decide decides about a call in a deployment with keys.
func Decide(teams specifier.Teams, call Call, freshness Freshness, bounds Bounds) Decision {
	team, known := teams.ByKey(call.Key)
	mayBeAdded := bounds.Strict() && !freshness.within(bounds.MaxAgeOfRefusal())
	mayBeRevoked := bounds.Strict() && !freshness.within(bounds.MaxAge())
	switch {
	case call.Public && known && mayBeRevoked:
		// The queue is served without a key, and the key must not give access to the jobs of its team.
		return Decision{Caller: specifier.Caller{Doubtful: true}}
	case call.Public:
		return Decision{Caller: specifier.Caller{Team: team.Name, Doubtful: call.Key != "" && !known && mayBeAdded}}
	case mayBeRevoked:
		return Decision{Verdict: NotFresh}
	case known:
		return Decision{Caller: specifier.Caller{Team: team.Name}}
	case mayBeAdded:
		return Decision{Verdict: NotFresh}
	default:
		return Decision{Verdict: UnknownKey}
	}
}
