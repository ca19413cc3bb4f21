// Package committer makes task records durable: it writes starts and ends in groups to the configuration store,
// compacts them into shards, and reads them back after a change of the placing member.
//
// Journal is a pure core that decides what is written next; Committer runs it against a keeper.Store.
package committer
