package checker

import (
	"net/netip"
	"strings"
)

func (f *findings) checkQueues(document Document) {
	if len(document.Queues) == 0 && !document.QueuesFaulty {
		f.warn(document.QueuesPlace, "there is no queue, so that no call is served")
	}
	services := make(map[string]bool)
	for _, service := range document.Services {
		services[service.Name.Value] = true
	}
	names, matches := make(map[string]string), make(map[[2]string]string)
	for _, queue := range document.Queues {
		f.requireText(queue.Name, "name of the queue")
		f.requireUnique(names, queue.Name, "queue name")
		f.checkMatch(queue, matches)
		f.requireText(queue.Service, "service")
		if name := queue.Service.Value; name != "" && !services[name] && !document.ServicesFaulty {
			f.error(queue.Service.Place, "there is no service %q", name)
		}
		f.checkQueueAmounts(queue)
	}
}

// checkMatch reports a queue that no call can match. Calls are matched by the host without its port, and by the longest prefix
// of the path; of several equal queues the first one counts.
func (f *findings) checkMatch(queue Queue, matches map[[2]string]string) {
	f.requireText(queue.Host, "host")
	if !isHost(queue.Host.Value) {
		f.error(queue.Host.Place, "host %q can never match: it must be a name without scheme, port and path", queue.Host.Value)
	}
	prefix := queue.Prefix
	switch {
	case prefix.isMissing():
		f.error(prefix.Place, "prefix is missing, so that the queue can never match")
	case prefix.Given && prefix.Value == "":
		f.error(prefix.Place, "prefix is empty, so that the queue can never match")
	case prefix.Given && !strings.HasPrefix(prefix.Value, "/"):
		f.error(prefix.Place, "prefix %q can never match: paths begin with a slash", prefix.Value)
	}
	if queue.Host.Value == "" || prefix.Value == "" {
		return
	}
	match := [2]string{queue.Host.Value, prefix.Value}
	if earlier, known := matches[match]; known {
		f.error(queue.Place, "the queue can never match: %s has the same host and prefix", earlier)
		return
	}
	matches[match] = queue.Place
}

// isHost reports whether a text can be the host of a call: a name or an address, without a port.
func isHost(text string) bool {
	if _, err := netip.ParseAddr(strings.Trim(text, "[]")); err == nil {
		return true
	}
	return !strings.ContainsAny(text, ":/ ")
}

func (f *findings) checkQueueAmounts(queue Queue) {
	requireNotNegative(f, queue.Priority, "priority")
	requirePositive(f, queue.MaxAttempts, "number of attempts")
	requirePositive(f, queue.Stretch, "stretch")
	f.requireDuration(queue.TargetMilliseconds, "target latency")
	if queue.Advice == nil {
		return
	}
	fixed, valid := queue.Advice.FixedMilliseconds, queue.Advice.ValidMilliseconds
	fixedUsable := requireNotNegative(f, fixed, "fixed duration")
	requireNotNegative(f, queue.Advice.PerServerMilliseconds, "duration for each server")
	f.requireDuration(valid, "validity")
	if fixedUsable && valid.Given && valid.Value > 0 && float64(valid.Value) < fixed.Value {
		f.error(valid.Place, "advice is valid for %d ms, but a call takes at least %v ms", valid.Value, fixed.Value)
	}
}
