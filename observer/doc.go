// Package observer makes the operators' views from what the entry instances report at first hand, from the instance
// list and from the configuration in force. Each instance answers for the cell by asking all others when an operator
// asks, because heartbeats between zones reach only one member of each zone.
package observer
