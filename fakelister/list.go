// Package fakelister is a stand-in for the platform's instance list, in memory and over HTTP.
package fakelister

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/describer"
	"egretring.example/egretring/lister"
)

// ErrDown is returned while the list is down.
var ErrDown = errors.New("instance list is down")

// List is an in-memory lister.List whose changes become visible after a lag.
type List struct {
	mu       sync.Mutex
	lag      time.Duration
	down     bool
	versions []version
}

// version is a listing and the time from which readers see it.
type version struct {
	visibleFrom time.Time
	listing     lister.Listing
}

// Option configures a List.
type Option func(*List)

// WithLag makes each change visible only after a lag.
func WithLag(lag time.Duration) Option {
	return func(l *List) { l.lag = lag }
}

// New returns a list with an initial listing, which is visible without a lag.
func New(listing lister.Listing, options ...Option) *List {
	l := &List{versions: []version{{listing: listing}}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Set replaces the listing; readers see it after the lag.
func (l *List) Set(listing lister.Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(listing)
}

func (l *List) addVersion(listing lister.Listing) {
	l.versions = append(l.versions, version{visibleFrom: time.Now().Add(l.lag), listing: listing})
}

// SetServerState changes the state of one backend server; readers see it after the lag.
func (l *List) SetServerState(id describer.BackendServerID, state describer.ServerState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.versions[len(l.versions)-1].listing
	servers := make([]describer.BackendServer, 0, len(last.BackendServers))
	for _, server := range last.BackendServers {
		if server.ID == id {
			server = server.WithState(state)
		}
		servers = append(servers, server)
	}
	l.addVersion(lister.Listing{BackendServers: servers, Instances: last.Instances})
}

// SetDown starts or ends an outage of the list.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// BackendServers implements lister.List.
func (l *List) BackendServers(context.Context) ([]describer.BackendServer, error) {
	listing, err := l.visibleListing()
	return listing.BackendServers, err
}

// Instances implements lister.List.
func (l *List) Instances(context.Context) ([]describer.Instance, error) {
	listing, err := l.visibleListing()
	return listing.Instances, err
}

func (l *List) visibleListing() (lister.Listing, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return lister.Listing{}, ErrDown
	}
	now := time.Now()
	current := l.versions[0].listing
	for _, candidate := range l.versions {
		if !candidate.visibleFrom.After(now) {
			current = candidate.listing
		}
	}
	return current, nil
}

// Handler returns a handler that serves the list over HTTP.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+lister.PathList, func(w http.ResponseWriter, _ *http.Request) {
		listing, err := l.visibleListing()
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if err := json.NewEncoder(w).Encode(listing); err != nil {
			return
		}
	})
	return mux
}
