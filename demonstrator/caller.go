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
	// callerAttempts is how often a caller sends a request whose connection was lost.
	callerAttempts = 3
	// answerGrace is how long after its deadline an answer may still arrive before the request counts as lost.
	answerGrace       = 2 * time.Second
	connectionsPerTry = 1024
	retryPause        = 20 * time.Millisecond
)

// callers sends requests to the entry instances, as the load balancer spreads them.
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
			DialContext: cell.network.Dialer(zone.ID), MaxIdleConnsPerHost: connectionsPerTry, DisableCompression: true,
		}}
	}
	return c
}

// serve sends one request, retries it as a careful caller does, and records what the caller was told.
func (c *callers) serve(ctx context.Context, arrival generator.Arrival) {
	started := time.Now()
	deadline := started.Add(arrival.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(answerGrace))
	defer cancel()
	if arrival.CancelAfter > 0 {
		var cancelCall context.CancelFunc
		ctx, cancelCall = context.WithTimeout(ctx, arrival.CancelAfter)
		defer cancelCall()
	}
	told := toldNothing
	for attempt := 1; attempt <= callerAttempts; attempt++ {
		entry, ok := c.choose(arrival.AvailabilityZone)
		if !ok {
			break
		}
		told = c.send(ctx, entry, arrival, attempt, deadline)
		if told == toldNotRun && attempt > 1 && arrival.Repeatable {
			// The answer is about this attempt only; the one whose connection was lost may have run.
			told = toldUnknown
		}
		if told != toldNothing || ctx.Err() != nil || time.Now().After(deadline) {
			break
		}
		time.Sleep(retryPause)
	}
	cancelled := arrival.CancelAfter > 0 && ctx.Err() != nil && told == toldNothing
	c.tally.add(arrival, told, time.Since(started), cancelled)
}

// choose returns an entry instance as the load balancer does: any that can be reached, of the own zone if the zone is
// cut off.
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
) told {
	request, err := newRequest(ctx, entry, arrival, attempt, deadline)
	if err != nil {
		return toldNothing
	}
	response, err := c.clients[arrival.AvailabilityZone].Do(request)
	if err != nil {
		return toldNothing
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return toldNothing
	}
	return c.judge(arrival, response, body)
}

func newRequest(
	ctx context.Context, entry *Entry, arrival generator.Arrival, attempt int, deadline time.Time,
) (*http.Request, error) {
	method := http.MethodPost
	if arrival.Repeatable {
		method = http.MethodGet
	}
	body := bytes.NewReader(make([]byte, arrival.BodyBytes))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.Callers+arrival.Path(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	request.Header.Set(forwarder.HeaderDeadline, deadline.Format(time.RFC3339Nano))
	request.Header.Set(forwarder.HeaderRequest, arrival.ID)
	request.Header.Set(handler.HeaderTeam, string(arrival.Team))
	request.Header.Set(handler.HeaderAttempt, strconv.Itoa(attempt))
	request.Header.Set(fakebackend.HeaderRunTime, arrival.RunTime.String())
	request.Header.Set(fakebackend.HeaderAnswerBytes, strconv.Itoa(arrival.AnswerBytes))
	if arrival.Key != "" {
		request.Header.Set(forwarder.HeaderIdempotencyKey, arrival.Key)
	}
	// The client must not send a request again on its own; the caller decides that.
	request.GetBody = nil
	return request, nil
}

// judge returns what an answer tells its caller, and records an answer that is not the caller's own or not whole.
func (c *callers) judge(arrival generator.Arrival, response *http.Response, body []byte) told {
	if response.StatusCode == http.StatusOK {
		if response.Header.Get(router.HeaderReplayed) == "" && !isOwnAnswer(arrival, response, body) {
			c.tally.countWrongAnswer()
		}
		return toldAnswered
	}
	switch classifier.Outcome(response.Header.Get(forwarder.HeaderOutcome)) {
	case classifier.NotRun:
		return toldNotRun
	case classifier.Run:
		return toldRun
	}
	return toldUnknown
}

func isOwnAnswer(arrival generator.Arrival, response *http.Response, body []byte) bool {
	return response.Header.Get(forwarder.HeaderRequest) == arrival.ID &&
		bytes.Equal(body, fakebackend.AnswerBody(arrival.ID, arrival.AnswerBytes))
}
