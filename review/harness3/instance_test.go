//go:build review

package harness3

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"egretring.example/egretring/platform/fakestore"
)

// instance is a process of the program. Its calls to the store, and calls of other instances to it, go through links.
type instance struct {
	cell      *cell
	name      string
	callers   string
	readiness string
	settings  string
	store     *fakestore.Handler
	storeLink *link
	peerLink  *link
	process   *exec.Cmd
	log       *os.File
	ended     chan struct{}
}

func (c *cell) newInstance(name, zone string) (*instance, error) {
	i := &instance{cell: c, name: name, settings: filepath.Join(c.folder, name+".hujson")}
	addresses := make([]string, 4)
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	i.callers, i.readiness = addresses[0], addresses[1]
	i.store = fakestore.NewHandler(c.store)
	var err error
	if i.storeLink, err = c.link(c.serve(i.store)); err != nil {
		return nil, err
	}
	if i.peerLink, err = c.link(addresses[2]); err != nil {
		return nil, err
	}
	// The fields are those of deploy/settings.hujson, filled in as for a small deployment.
	settings, err := json.Marshal(map[string]any{
		"Instance": name, "AvailabilityZone": zone, "CallerAddress": i.callers, "ReadinessAddress": i.readiness,
		"PeerAddress": addresses[2], "AnnouncedPeerAddress": i.peerLink.address(), "MetricsAddress": addresses[3],
		"StoreAddress": i.storeLink.address(), "AdviceAddress": "",
		"MaximumLeaseMilliseconds": maximumLease.Milliseconds(), "StateKeptSeconds": 120, "GraceSeconds": 6,
		"Processors": 1, "ProcessorShare": 0.4, "MemoryMegabytes": 284, "MaximumDescriptors": 4100,
		"Contracts":                 []string{"base", "drain", "config", "cost", "recover", "sched", "platform"},
		"ConfigurationMilliseconds": configTime.Milliseconds(), "FarFactor": 1.5, "CheckpointSeconds": 2, "RestoreMilliseconds": 250,
		"LogLevel": "Info",
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.settings, settings, 0o600); err != nil {
		return nil, err
	}
	logs := os.Getenv("REVIEW_LOGS")
	if logs == "" {
		logs = c.folder
	}
	i.log, err = os.Create(filepath.Join(logs, name+".log"))
	return i, err
}

func (i *instance) start() error {
	i.process = exec.Command(i.cell.program)
	i.process.Env = append(os.Environ(), "EGRETRING_SETTINGS="+i.settings)
	i.process.Stdout, i.process.Stderr = i.log, i.log
	if err := i.process.Start(); err != nil {
		return err
	}
	i.cell.record.line("%s started", i.name)
	i.ended = make(chan struct{})
	go func() {
		_ = i.process.Wait()
		close(i.ended)
	}()
	return nil
}

func (i *instance) kill() {
	if i.process == nil || i.process.Process == nil {
		return
	}
	_ = i.process.Process.Kill()
	<-i.ended
}

func (i *instance) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// probe asks the instance once per second whether it is ready, as the platform does.
func (i *instance) probe() {
	ready := true
	for i.cell.ctx.Err() == nil {
		if now := i.ready(); now != ready && i.cell.ctx.Err() == nil {
			ready = now
			i.cell.record.line("%s: ready %t", i.name, ready)
		}
		time.Sleep(time.Second)
	}
}
