// Package committer makes task records durable: it writes the starts and ends of attempts in groups to the
// configuration store, compacts them into shards, and reads them back after a change of the placing member, which is
// the entry instance that places the tasks of a zone.
//
// Journal decides what is written next and performs no I/O; Committer runs it against a keeper.Store.
package committer
