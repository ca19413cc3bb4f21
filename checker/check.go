package checker

import "egretring.example/egretring/keeper"

// Check returns the findings for a configuration alone.
func Check(document Document) []Finding {
	var found findings
	found.checkVersion(document.Version)
	found.checkServices(document)
	found.checkQueues(document)
	found.checkTeams(document.Teams)
	found.checkLimits(document.Limits)
	return found
}

// CheckSize returns the finding for a file that is too large for the store; such a file is not read further.
func CheckSize(size int) []Finding {
	var found findings
	if size > keeper.MaxValueBytes {
		found.error("", "the file is larger than the largest value of the store, %d bytes", keeper.MaxValueBytes)
	}
	return found
}

func (f *findings) checkVersion(version Field[int64]) {
	if version.isMissing() {
		f.error(version.Place, "version is missing")
	}
	if version.Given && version.Value <= 0 {
		f.error(version.Place, "version is %d, but must be positive", version.Value)
	}
}

func (f *findings) checkServices(document Document) {
	used := make(map[string]bool)
	for _, queue := range document.Queues {
		used[queue.Service.Value] = true
	}
	seen := make(map[string]string)
	for _, service := range document.Services {
		f.requireText(service.Name, "name of the service")
		f.requireUnique(seen, service.Name, "service name")
		if service.Name.Value != "" && !used[service.Name.Value] {
			f.warn(service.Place, "no queue uses service %q", service.Name.Value)
		}
		requireNotNegative(f, service.MaxConnections, "number of connections")
	}
}

func (f *findings) checkLimits(limits Limits) {
	for _, size := range []Field[int64]{limits.BodyBytes, limits.HeaderBytes} {
		if requireNotNegative(f, size, "limit") && size.Value == 0 {
			f.warn(size.Place, "limit is zero, so that the default of the program applies")
		}
	}
	if body := limits.BodyBytes; body.Value > keeper.MaxValueBytes {
		f.error(body.Place, "limit is %d bytes, but a value of the store has at most %d", body.Value, keeper.MaxValueBytes)
	}
	requireNotNegative(f, limits.HeaderMilliseconds, "time")
	requireNotNegative(f, limits.IdleMilliseconds, "time")
}
