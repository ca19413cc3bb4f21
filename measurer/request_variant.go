package measurer

import (
	"egretring.example/egretring/dispatcher"
	"egretring.example/egretring/picker"
)

// requestVariant is a policy of the dispatcher.
type requestVariant struct {
	name    string
	options []dispatcher.Option
}

var chosenPolicy = requestVariant{name: "chosen"}

// requestVariants returns the chosen policy, the policy without each of its parts, and the baselines.
func requestVariants() []requestVariant {
	variant := func(name string, option dispatcher.Option) requestVariant {
		return requestVariant{name: name, options: []dispatcher.Option{option}}
	}
	return []requestVariant{
		chosenPolicy,
		variant("no urgent reserve", dispatcher.WithoutUrgentReserve()),
		variant("no long cap", dispatcher.WithoutLongCap()),
		variant("no class weights", dispatcher.WithoutClassWeights()),
		variant("no ageing", dispatcher.WithoutAgeing()),
		variant("no shortest first", dispatcher.WithoutShortestFirst()),
		variant("no learned estimates", dispatcher.WithoutLearnedEstimates()),
		variant("no ejection", dispatcher.WithoutEjection()),
		variant("no adaptive admission", dispatcher.WithoutAdaptiveAdmission()),
		variant("no retry budget", dispatcher.WithoutRetryBudget()),
		variant("no relays", dispatcher.WithoutRelays()),
		variant("two random choices", dispatcher.WithPickRule(picker.TwoChoices)),
		variant("baseline FIFO", dispatcher.WithFIFOBaseline()),
		variant("baseline priority", dispatcher.WithPriorityBaseline()),
	}
}
