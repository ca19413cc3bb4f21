package demonstrator

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"egretring.example/egretring/classifier"
	"egretring.example/egretring/describer"
	"egretring.example/egretring/fakebackend"
	"egretring.example/egretring/forwarder"
	"egretring.example/egretring/generator"
	"egretring.example/egretring/handler"
	"egretring.example/egretring/router"
)

const (
	// callerAttempts is the maximum number of times that a caller sends a request that gets no response, for example
	// because the connection was lost.
	callerAttempts = 3
	// responseGrace is how long after the deadline a caller still waits for a response before the request counts as
	// unanswered.
	responseGrace      = 2 * time.Second
	maxIdleConnections = 1024
	retryPause         = 20 * time.Millisecond
)

// callers sends requests to randomly chosen entry instances, as a load balancer would distribute them.
type callers struct {
	cell    *Cell
	tally   *tally
	clients map[describer.AvailabilityZoneID]*http.Client

	mu     sync.Mutex
	random *rand.Rand
}

func newCallers(cell *Cell, results *tally) *callers {
	c := &callers{
		cell: cell, tally: results,
		clients: make(map[describer.AvailabilityZoneID]*http.Client),
		random:  rand.New(rand.NewPCG(cell.seed, 0)),
	}
	for _, zone := range cell.topology.Zones {
		c.clients[zone.ID] = &http.Client{Transport: &http.Transport{
			DialContext: cell.network.Dialer(zone.ID), MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true,
		}}
	}
	return c
}

// serve sends one request, retries it while it gets no response, and records the outcome that the caller received.
func (c *callers) serve(ctx context.Context, arrival generator.Arrival) {
	started := time.Now()
	deadline := started.Add(arrival.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(responseGrace))
	defer cancel()
	if arrival.CancelAfter > 0 {
		var cancelCall context.CancelFunc
		ctx, cancelCall = context.WithTimeout(ctx, arrival.CancelAfter)
		defer cancelCall()
	}
	outcome := outcomeNone
	for attempt := 1; attempt <= callerAttempts; attempt++ {
		entry, ok := c.choose(arrival.AvailabilityZone)
		if !ok {
			break
		}
		outcome = c.send(ctx, entry, arrival, attempt, deadline)
		if outcome == outcomeNotRun && attempt > 1 && arrival.Repeatable {
			// The response is about this attempt only; an earlier attempt, whose connection was lost, may have run.
			outcome = outcomeUnknown
		}
		if outcome != outcomeNone || ctx.Err() != nil || time.Now().After(deadline) {
			break
		}
		time.Sleep(retryPause)
	}
	cancelled := arrival.CancelAfter > 0 && ctx.Err() != nil && outcome == outcomeNone
	c.tally.add(arrival, outcome, time.Since(started), cancelled)
}

// choose returns a random entry instance of those that callers of the zone can reach, as a load balancer does. These
// are the instances of all connected zones, or only those of the zone itself while it is cut off. choose returns false
// if there are none.
func (c *callers) choose(zone describer.AvailabilityZoneID) (*Entry, bool) {
	reachable := c.cell.reachableFrom(zone)
	if len(reachable) == 0 {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return reachable[c.random.IntN(len(reachable))], true
}

func (c *callers) send(
	ctx context.Context, entry *Entry, arrival generator.Arrival, attempt int, deadline time.Time,
) callerOutcome {
	request, err := newRequest(ctx, entry, arrival, attempt, deadline)
	if err != nil {
		return outcomeNone
	}
	response, err := c.clients[arrival.AvailabilityZone].Do(request)
	if err != nil {
		return outcomeNone
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeNone
	}
	return c.classify(arrival, response, body)
}

func newRequest(
	ctx context.Context, entry *Entry, arrival generator.Arrival, attempt int, deadline time.Time,
) (*http.Request, error) {
	method := http.MethodPost
	if arrival.Repeatable {
		method = http.MethodGet
	}
	body := bytes.NewReader(make([]byte, arrival.BodyBytes))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.CallerAddress+arrival.Path(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set(forwarder.HeaderDeadline, deadline.Format(time.RFC3339Nano))
	request.Header.Set(forwarder.HeaderRequest, arrival.ID)
	request.Header.Set(handler.HeaderTeam, string(arrival.Team))
	request.Header.Set(handler.HeaderAttempt, strconv.Itoa(attempt))
	request.Header.Set(fakebackend.HeaderRunTime, arrival.RunTime.String())
	request.Header.Set(fakebackend.HeaderResponseBytes, strconv.Itoa(arrival.ResponseBytes))
	if arrival.Key != "" {
		request.Header.Set(forwarder.HeaderIdempotencyKey, arrival.Key)
	}
	// The HTTP client must not resend a request on its own, and cannot without GetBody; retries are up to the caller.
	request.GetBody = nil
	return request, nil
}

// classify returns the outcome that a response reports to its caller. It also counts a successful response that is
// incomplete or belongs to another request.
func (c *callers) classify(arrival generator.Arrival, response *http.Response, body []byte) callerOutcome {
	if response.StatusCode == http.StatusOK {
		if response.Header.Get(router.HeaderReplayed) == "" && !isOwnAnswer(arrival, response, body) {
			c.tally.countWrongAnswer()
		}
		return outcomeAnswered
	}
	switch classifier.Outcome(response.Header.Get(forwarder.HeaderOutcome)) {
	case classifier.NotRun:
		return outcomeNotRun
	case classifier.Run:
		return outcomeRun
	}
	return outcomeUnknown
}

func isOwnAnswer(arrival generator.Arrival, response *http.Response, body []byte) bool {
	return response.Header.Get(forwarder.HeaderRequest) == arrival.ID &&
		bytes.Equal(body, fakebackend.ResponseBody(arrival.ID, arrival.ResponseBytes))
}
