// Package observer builds the operators' views of the cell from the reports of the entry instances, the instance list
// and the configuration in force. A report holds only what its instance observes itself. Any instance can serve an
// operator: it then requests the reports of all other instances, because heartbeats between zones reach only one member
// of each zone.
package observer
