// Package placer places the tasks of one availability zone on its backend servers. It keeps a ledger of what the
// tasks on each backend server need, learns that need from usage reports, and decides which task gives way.
//
// The package is pure: events with a time go in, commands come out.
package placer
