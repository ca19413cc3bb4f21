package measurer

import (
	"slices"

	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/picker"
)

// requestVariant is a policy of the dispatcher.
type requestVariant struct {
	name    string
	options []dispatcher.Option
	// loads are the loads at which the policy is measured; nil means all partLoads.
	loads []string
}

// failing and healthy are the part loads with and without failing servers. Parts that act only on failures are not
// measured without them, and the other parts not with them.
var (
	failing = []string{"failing servers"}
	healthy = []string{"swing 4x in 2 s", "stragglers 100x", "overload 3x"}
)

// measuredAt reports whether the policy is measured at a load.
func (v requestVariant) measuredAt(load string) bool {
	return slices.Contains(partLoads, load) && (v.loads == nil || slices.Contains(v.loads, load))
}

var chosenPolicy = requestVariant{name: "chosen"}

// requestVariants returns the chosen policy, the policy without each of its parts, and the baselines.
func requestVariants() []requestVariant {
	variant := func(name string, option dispatcher.Option, loads []string) requestVariant {
		return requestVariant{name: name, options: []dispatcher.Option{option}, loads: loads}
	}
	return []requestVariant{
		chosenPolicy,
		variant("no urgent reserve", dispatcher.WithoutUrgentReserve(), healthy),
		variant("no long cap", dispatcher.WithoutLongCap(), healthy),
		variant("no class weights", dispatcher.WithoutClassWeights(), healthy),
		variant("no ageing", dispatcher.WithoutAgeing(), healthy),
		variant("no shortest first", dispatcher.WithoutShortestFirst(), healthy),
		variant("no learned estimates", dispatcher.WithoutLearnedEstimates(), healthy),
		variant("no ejection", dispatcher.WithoutEjection(), failing),
		variant("no adaptive admission", dispatcher.WithoutAdaptiveAdmission(), healthy),
		variant("no retry budget", dispatcher.WithoutRetryBudget(), failing),
		variant("no relays", dispatcher.WithoutRelays(), healthy),
		variant("two random choices", dispatcher.WithPickRule(picker.TwoChoices), nil),
		variant("baseline FIFO", dispatcher.WithFIFOBaseline(), nil),
		variant("baseline priority", dispatcher.WithPriorityBaseline(), nil),
	}
}
