package coordinator

import "egretring.example/egretring/specifier"

// recordQuotas sets the gauges of what each team has running and of its limit. Only the owner of the team's shard has them: other owners
// know the limit, but no runs.
func (o *owner) recordQuotas() {
	for _, usage := range o.stateMachine.Quotas() {
		if usage.Running != (specifier.Resources{}) {
			o.counted[usage.Team] = true
		}
		if o.counted[usage.Team] {
			o.setQuotaGauges(usage.Team, "Running", usage.Running)
			o.setQuotaGauges(usage.Team, "Limit", usage.Limit)
		}
	}
}

func (o *owner) setQuotaGauges(team, kind string, amount specifier.Resources) {
	prefix := "Teams." + team + "." + kind
	o.settings.meter.Set(prefix+"MilliCores", amount.MilliCores)
	o.settings.meter.Set(prefix+"MemoryMB", amount.MemoryMB)
	o.settings.meter.Set(prefix+"Accelerators", amount.Accelerators)
}

// clearQuotas sets the gauges of what the teams have running to zero at the end of a term: another instance counts them from then on.
func (o *owner) clearQuotas() {
	for team := range o.counted {
		o.setQuotaGauges(team, "Running", specifier.Resources{})
	}
}
