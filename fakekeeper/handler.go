package fakekeeper

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"egretring.example/egretring/keeper"
)

// Handler returns a handler that serves the store over HTTP.
func (s *Store) Handler() http.Handler {
	return HandlerOf(s)
}

type callHandler func(ctx context.Context, store keeper.Store, call keeper.Call) (keeper.Reply, error)

var callHandlers = map[string]callHandler{
	keeper.PathGet: func(ctx context.Context, store keeper.Store, call keeper.Call) (reply keeper.Reply, err error) {
		reply.Entry, err = store.Get(ctx, call.Key)
		return reply, err
	},
	keeper.PathList: func(ctx context.Context, store keeper.Store, call keeper.Call) (reply keeper.Reply, err error) {
		reply.Page, err = store.List(ctx, call.Key)
		return reply, err
	},
	keeper.PathPut: func(ctx context.Context, store keeper.Store, call keeper.Call) (reply keeper.Reply, err error) {
		reply.Entry, err = store.Put(ctx, keeper.PutOptions{
			Key: call.Key, Value: call.Value, Version: call.Version, Lease: call.Lease,
		})
		return reply, err
	},
	keeper.PathDelete: func(ctx context.Context, store keeper.Store, call keeper.Call) (keeper.Reply, error) {
		return keeper.Reply{}, store.Delete(ctx, call.Key, call.Version)
	},
	keeper.PathGrant: func(ctx context.Context, store keeper.Store, call keeper.Call) (reply keeper.Reply, err error) {
		reply.Lease, err = store.Grant(ctx, call.TimeToLive)
		return reply, err
	},
	keeper.PathRenew: func(ctx context.Context, store keeper.Store, call keeper.Call) (keeper.Reply, error) {
		return keeper.Reply{}, store.Renew(ctx, call.Lease)
	},
	keeper.PathRevoke: func(ctx context.Context, store keeper.Store, call keeper.Call) (keeper.Reply, error) {
		return keeper.Reply{}, store.Revoke(ctx, call.Lease)
	},
	keeper.PathWatch: func(ctx context.Context, store keeper.Store, call keeper.Call) (reply keeper.Reply, err error) {
		reply.Changes, err = store.Watch(ctx, call.Key, call.Revision)
		return reply, err
	},
}

// HandlerOf returns a handler that serves any store over HTTP.
func HandlerOf(store keeper.Store) http.Handler {
	mux := http.NewServeMux()
	for path, run := range callHandlers {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			serve(w, r, store, run)
		})
	}
	return mux
}

func serve(w http.ResponseWriter, r *http.Request, store keeper.Store, run callHandler) {
	var call keeper.Call
	body := http.MaxBytesReader(w, r.Body, 2*keeper.MaxValueBytes)
	if err := json.NewDecoder(body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, err := run(r.Context(), store, call)
	reply.Failure = keeper.FailureName(errors.Cause(err))
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		return
	}
}
