package main

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	goji "goji.io"
	"goji.io/pat"

	"egretring.example/egretring/authorizer"
	"egretring.example/egretring/conductor"
	"egretring.example/egretring/connector"
	"egretring.example/egretring/coordinator"
	"egretring.example/egretring/gatekeeper"
	"egretring.example/egretring/logger"
	"egretring.example/egretring/meter"
	"egretring.example/egretring/platform"
	"egretring.example/egretring/sharder"
	"egretring.example/egretring/timekeeper"
)

const (
	// drainTime is how long requests are still accepted after a stop signal; the load balancer notices within two
	// seconds that the instance is not ready.
	drainTime = 2500 * time.Millisecond
	// shutdownTime bounds the wait for requests in flight during the shutdown of the HTTP servers.
	shutdownTime = 2 * time.Second
	// idleTimeout bounds the time of a connection between requests.
	idleTimeout = 2 * time.Minute
	// stateMargin is added to the time for which the platform requires the final states of jobs to be known.
	stateMargin = 30 * time.Second
	// memoryShare is the share of the instance's memory that is the memory limit of the Go runtime; near it the garbage
	// collector runs more often.
	memoryShare = 0.6
)

// process holds the parts of a running instance that serve starts and stops.
type process struct {
	settings platform.Settings
	logger   *slog.Logger
	meter    *meter.Meter
	sharder  *sharder.Sharder
	servers  []*http.Server
	failed   chan error
}

// serve runs an instance until a stop signal or a failure of a listener. SIGHUP checks the settings file again.
func serve(path string, settings platform.Settings, stdout io.Writer) error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(settings.LogLevel)); err != nil {
		return errors.Wrap(err, "field LogLevel")
	}
	log, logWriter := logger.New(stdout, level)
	defer logWriter.Close()
	if settings.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMegabytes<<20) * memoryShare))
	}
	signals := make(chan os.Signal, 2)
	// A write to a closed connection raises SIGPIPE in this process. The signal is received and ignored, because the
	// write also returns an error.
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGPIPE)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &process{
		settings: settings, logger: log.With("Instance", settings.Instance), meter: meter.New(), failed: make(chan error, 4),
	}
	if err := p.start(); err != nil {
		return err
	}
	go collector{isOwner: p.sharder.IsOwner, setPercent: debug.SetGCPercent}.run(ctx)
	p.logger.Info("instance started", "AvailabilityZone", settings.AvailabilityZone, "Callers", settings.CallerAddress)
	for {
		select {
		case err := <-p.failed:
			return err
		case received := <-signals:
			switch received {
			case syscall.SIGPIPE:
			case syscall.SIGHUP:
				p.reload(path)
			default:
				p.logger.Info("instance stops", "Signal", received.String())
				return p.stop()
			}
		}
	}
}

// reload reads the settings file again and logs whether it is valid and has changed. No change is applied: all settings
// are addresses and bounds that hold until the next start.
func (p *process) reload(path string) {
	changed, err := platform.LoadSettings(path)
	switch {
	case err != nil:
		p.logger.Error("settings cannot be read again; the earlier ones stay in use", "Error", err.Error())
	case !reflect.DeepEqual(changed, p.settings):
		p.logger.Warn("settings changed; they take effect at the next start")
	default:
		p.logger.Info("settings have not changed")
	}
}

func (p *process) start() error {
	clock := timekeeper.NewSteadyClock()
	userPlatform := platform.Connect(p.settings, clock, p.logger, p.meter, platform.WithServerTransport(connector.Transport{}))
	build := func(shard sharder.Shard, options ...coordinator.Option) (*coordinator.Coordinator, error) {
		return p.coordinator(shard, userPlatform, clock, options)
	}
	address, err := p.settings.AnnouncedPeerAddressOf(0)
	if err != nil {
		return err
	}
	p.sharder = sharder.New(sharder.Options{
		Store: userPlatform.Store, Directory: userPlatform.Directory, Instance: p.settings.Instance, Address: address,
		Processors: p.settings.ProcessorsOfProcess(), Build: build, Logger: p.logger,
		Meter: p.meter, Clock: clock, Keys: sharder.Keys{Required: p.settings.RequiresKeys(), Bounds: authorizer.Bounds{
			Revocation: p.settings.Revocation(), Configuration: p.settings.ConfigurationBound(),
		}},
	})
	p.sharder.Start()
	limits := p.settings.CallerLimits(p.sharder.MaxHeaderBytes)
	p.logger.Info("limits for callers", "MemoryBytes", limits.MemoryBytes, "Connections", limits.Connections, "ReceiveBuffer",
		limits.ReceiveBuffer)
	callers := gatekeeper.New("Callers", limits, p.logger, p.meter)
	if err := p.listen(p.settings.CallerAddress, platform.NewIngress(p.sharder, p.logger), callers); err != nil {
		return err
	}
	if err := p.listen(p.settings.ReadinessAddress, p.readinessHandler(), p.administrativeGate("Readiness")); err != nil {
		return err
	}
	if p.settings.MetricsAddress == "" {
		return nil
	}
	return p.listen(p.settings.MetricsAddress, p.metricsHandler(), p.administrativeGate("Metrics"))
}

// administrativeGate returns the gate of a listener that only the platform and operators use.
func (p *process) administrativeGate(name string) *gatekeeper.Gate {
	return gatekeeper.New(name, gatekeeper.AdministrativeLimits(), p.logger, p.meter)
}

// coordinator builds the coordinator of a shard, with a separate listener for calls of other instances.
func (p *process) coordinator(
	shard sharder.Shard, userPlatform *platform.Platform, clock timekeeper.Clock, options []coordinator.Option,
) (*coordinator.Coordinator, error) {
	address, err := p.settings.PeerAddressOf(shard.Index)
	if err != nil {
		return nil, err
	}
	announced, err := p.settings.AnnouncedPeerAddressOf(shard.Index)
	if err != nil {
		return nil, err
	}
	peers, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for other instances")
	}
	options = append(options,
		coordinator.WithBackendServers(userPlatform.BackendServers), coordinator.WithAdvice(userPlatform.Advice),
		coordinator.WithClock(clock), coordinator.WithLogger(p.logger.With("Shard", shard.Index)),
		coordinator.WithMeter(p.meter), coordinator.WithProcessors(p.settings.ProcessorsOfProcess()),
		coordinator.WithInstance(p.settings.Instance, announced),
		coordinator.WithConductor(
			conductor.WithMaximumLease(p.settings.MaximumLease()),
			conductor.WithFarFactor(p.settings.FarFactor),
			conductor.WithCheckpoints(p.settings.Checkpoints()),
			conductor.WithFinalStateRetention(time.Duration(p.settings.StateKeptSeconds)*time.Second+stateMargin),
		),
	)
	return coordinator.New(peers, options...)
}

func (p *process) readinessHandler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get("/readiness"), p.readiness)
	return mux
}

func (p *process) metricsHandler() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), p.meter.Handler())
	return mux
}

func (p *process) readiness(w http.ResponseWriter, r *http.Request) {
	if !p.sharder.CheckReady(r.Context()) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// listen serves a handler at an address, with the limits of a gate.
func (p *process) listen(address string, handler http.Handler, gate *gatekeeper.Gate) error {
	accept, err := gate.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: p.settings.HeaderTime(), IdleTimeout: idleTimeout}
	guarded := gate.Guard(server, accept)
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			p.failed <- errors.Wrapf(err, "serve %s", address)
		}
	}()
	return nil
}

// stop gives up the ownership of all shards, still serves requests for drainTime, shuts down the HTTP servers, and
// stops the coordinators.
func (p *process) stop() error {
	p.sharder.Drain()
	time.Sleep(drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	for _, server := range p.servers {
		if err := server.Shutdown(ctx); err != nil {
			p.logger.Warn("connections were still open when the shutdown ended", "Error", err.Error())
		}
	}
	err := p.sharder.Stop()
	p.logger.Info("instance stopped")
	return err
}
