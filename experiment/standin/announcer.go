package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// announceInterval is the time between repeated announcements; a node that restarts has lost the earlier ones.
	announceInterval = 500 * time.Millisecond
	// announceRetry is the delay before an announcement is repeated that the node refused or did not receive.
	announceRetry = 50 * time.Millisecond
	// announceTimeout is the timeout of one announcement request.
	announceTimeout = time.Second
)

// Announcement is the body of PUT /v1/upstream on a node's administration address.
type Announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	HealthPath  string `json:"health_path"`
	LoadPath    string `json:"load_path"`
}

// announceState is what the announcer currently tells the node.
type announceState uint8

const (
	announceNothing announceState = iota
	announceServing
	announceDraining
)

// announcer tells the node beside the upstream that the upstream serves or leaves. One goroutine sends all
// announcements, so that none overtakes another.
type announcer struct {
	client *http.Client
	url    string
	body   []byte
	stop   context.CancelFunc

	mu    sync.Mutex
	state announceState
	// drained is closed when the node has acknowledged the announcement that the upstream is leaving. Each change of
	// state replaces it.
	drained chan struct{}
	// changed wakes the goroutine after a change of state.
	changed chan struct{}
}

func newAnnouncer(client *http.Client, o Options, address string) *announcer {
	body, err := json.Marshal(Announcement{
		Service: o.Service, Address: address, Slots: o.Slots, Connections: o.Connections,
		HealthPath: healthPath, LoadPath: loadPath,
	})
	if err != nil {
		// Strings and numbers always encode.
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &announcer{
		client: client, url: "http://" + o.NodeAdminAddress + "/v1/upstream", body: body, stop: cancel,
		drained: make(chan struct{}), changed: make(chan struct{}, 1),
	}
	go a.run(ctx)
	return a
}

// serving announces from now on that the upstream serves.
func (a *announcer) serving() { a.set(announceServing) }

// stopAnnouncing sends nothing more until the state changes again.
func (a *announcer) stopAnnouncing() { a.set(announceNothing) }

// close ends the goroutine that sends announcements.
func (a *announcer) close() { a.stop() }

// set changes the state and returns the channel that is closed if the node acknowledges draining in this state.
func (a *announcer) set(s announceState) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state = s
	a.drained = make(chan struct{})
	select {
	case a.changed <- struct{}{}:
	default:
	}
	return a.drained
}

// draining announces that the upstream is leaving. It returns when the node has acknowledged, or with the error of ctx.
func (a *announcer) draining(ctx context.Context) error {
	select {
	case <-a.set(announceDraining):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (a *announcer) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(a.step(ctx))
		select {
		case <-timer.C:
		case <-a.changed:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// step sends the announcement of the current state and returns the time until the next one.
func (a *announcer) step(ctx context.Context) time.Duration {
	a.mu.Lock()
	state, drained := a.state, a.drained
	a.mu.Unlock()
	method := http.MethodPut
	switch state {
	case announceNothing:
		return announceInterval
	case announceDraining:
		method = http.MethodDelete
	}
	if err := a.send(ctx, method); err != nil {
		return announceRetry
	}
	if state == announceDraining {
		a.finishDrain(drained)
	}
	return announceInterval
}

// finishDrain ends the announcements after the node has acknowledged, unless the state changed in the meantime.
func (a *announcer) finishDrain(drained chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drained != drained {
		return
	}
	a.state = announceNothing
	close(drained)
}

func (a *announcer) send(ctx context.Context, method string) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, a.url, bytes.NewReader(a.body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Newf("standin: announcement refused with status %d", response.StatusCode)
	}
	return nil
}
