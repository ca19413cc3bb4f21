package conductor

// countTasks returns how many tasks fit the servers, given how many fit each server.
func countTasks(servers []*session, fits func(*session) int) int {
	fitting := 0
	for _, s := range servers {
		fitting += fits(s)
	}
	return fitting
}

// countServers returns how many of the servers, in their order, a number of tasks takes, given how many fit each server.
func countServers(servers []*session, tasks int, fits func(*session) int) int {
	fitting := 0
	for n, s := range servers {
		if fitting >= tasks {
			return n
		}
		fitting += fits(s)
	}
	return len(servers)
}

// fitsOn reports whether a number of tasks fits the servers, given how many fit each server.
func fitsOn(servers []*session, tasks int, fits func(*session) int) bool {
	fitting := 0
	for _, s := range servers {
		fitting += fits(s)
		if fitting >= tasks {
			return true
		}
	}
	return false
}
