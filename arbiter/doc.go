// Package arbiter decides the order in which waiting steps are served. It is pure: it contains no clock, goroutine or log.
//
// Steps are served by class: work within the rates of the teams before work beyond them, and results that have lost their value last
// of all; then by tier, the value that the result still has; then by the priority of the queue. Within a class, steps of one team are
// served by their latest start. Without teams this is the whole order. MarkBeyond finds the work beyond the rates.
//
// Between teams of a class the order is start-time fair queueing. There is one virtual time for each service, priority and side of the
// rate. Each team has a tag in it; the team with the lowest tag is served next. The start of a run raises the tag of its team by
// the dominant share of the run in the capacity of the service, times its expected run time in seconds, divided by the weight of
// the team. The virtual time is the highest tag, before its charge, of any team that was served.
//
// # Bound
//
// Let a team be owed the part of all charges that its weight has among the teams that have work waiting. For any two teams i and j
// that both have work waiting and are not blocked during an interval, the charges C in that interval differ by
//
//	|C(i)/w(i) - C(j)/w(j)| <= S(i)/w(i) + S(j)/w(j)
//
// where S is the largest charge of a step of the team and w its weight. Where tasks cost the same, a team therefore gets ahead of another
// one of the same weight by no more tasks than its own largest step and the largest step of the other team have: 50 with steps of 25
// tasks. Steps are served whole, because a gang has to be. The start of a run is charged by its estimate; an end corrects the charge to
// the run time, so that the bound holds for actual run times up to the errors of the estimates of the runs that have not ended.
//
// A team that returns after a pause, in which it had no work waiting, starts at the virtual time: it has neither credit from the pause
// nor debt from the time before, except that of its last step. A team with waiting work that could not be served, for example because of
// its quota, has a credit of its share of the service for MaxCredit at most.
package arbiter
