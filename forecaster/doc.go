// Package forecaster decides how long a task waits for a server near its data. Away from that rack it runs longer, but a near server
// has to become free first.
//
// The decision compares expected ends: now on a far server, or later on a near one. When a near server becomes free is learned
// from the capacity that ends of runs have released on the rack. A wait ends at the latest when a start on a far server would make
// the job miss its objective, so that a wrong forecast costs time but no objective that a start on a far server would have met.
package forecaster
