package router

import (
	"egretring.example/egretring/describer"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/tracer"
)

// Option configures a Router.
type Option func(*Router)

// WithMeter sets the meter that counts the requests.
func WithMeter(m *meter.Meter) Option {
	return func(r *Router) { r.meter = m }
}

// WithTracer sets the tracer that records spans of the request, its attempts and its relays.
func WithTracer(t *tracer.Tracer) Option {
	return func(r *Router) { r.tracer = t }
}

// WithLeavingHook sets the function that is called when a backend server announces that it is leaving.
func WithLeavingHook(hook func(describer.BackendServerID)) Option {
	return func(r *Router) { r.onLeaving = hook }
}

// WithHeldHook sets the function that is called when a backend server may still run a request whose attempt has ended.
func WithHeldHook(hook func(describer.BackendServer)) Option {
	return func(r *Router) { r.onHeld = hook }
}

// WithEndHook sets the function that is called after a request was refused or relayed, or has failed.
func WithEndHook(hook func(EndedRequest)) Option {
	return func(r *Router) { r.onEnded = hook }
}

// WithHomes sets the homes of idempotency keys. Without it, non-repeatable requests with a key run as all others do.
func WithHomes(homes *Homes) Option {
	return func(r *Router) { r.homes = homes }
}
