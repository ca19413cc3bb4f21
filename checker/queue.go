package checker

// Queue is a queue of the configuration.
type Queue struct {
	Place              string
	Name               Field[string]
	Host               Field[string]
	Prefix             Field[string]
	Service            Field[string]
	Priority           Field[int64]
	MaxAttempts        Field[int64]
	Stretch            Field[float64]
	TargetMilliseconds Field[int64]
	Public             Field[bool]
	// Advice is nil for a queue that needs no advice.
	Advice *Advice
}

// Advice is the cost of the calls for advice of a queue, and how long an advice is valid.
type Advice struct {
	Place                 string
	FixedMilliseconds     Field[float64]
	PerServerMilliseconds Field[float64]
	ValidMilliseconds     Field[int64]
}
