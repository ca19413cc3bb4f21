package router

import (
	"sync"

	"egretring.example/egretring/describer"
)

// Directory holds the addresses of backend servers and peers. It is safe for concurrent use.
type Directory struct {
	mu      sync.RWMutex
	servers map[describer.BackendServerID]describer.BackendServer
	peers   map[describer.InstanceID]describer.Instance
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{}
}

// SetServers replaces the backend servers.
func (d *Directory) SetServers(servers []describer.BackendServer) {
	byID := make(map[describer.BackendServerID]describer.BackendServer, len(servers))
	for _, server := range servers {
		byID[server.ID] = server
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = byID
}

// SetPeers replaces the peers.
func (d *Directory) SetPeers(peers []describer.Instance) {
	byID := make(map[describer.InstanceID]describer.Instance, len(peers))
	for _, peer := range peers {
		byID[peer.ID] = peer
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers = byID
}

// Server returns a backend server.
func (d *Directory) Server(id describer.BackendServerID) (describer.BackendServer, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	server, ok := d.servers[id]
	return server, ok
}

// Peer returns a peer.
func (d *Directory) Peer(id describer.InstanceID) (describer.Instance, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	peer, ok := d.peers[id]
	return peer, ok
}
