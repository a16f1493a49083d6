package minionhost

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"wasabihoist/internal/traffic/minion"
)

const (
	answersKept     = 4096
	announceTimeout = 500 * time.Millisecond
)

// stored is an answer that is kept for questions by identity.
type stored struct {
	requestID string
	body      []byte
	failed    bool
	running   bool
}

// instance is one incarnation of a host. Its fields are guarded by the mutex
// of the host.
type instance struct {
	host        *Host
	ended       <-chan struct{} // ended is closed when the incarnation stops or crashes.
	stop        context.CancelCauseFunc
	incarnation int64
	state       minion.State
	running     int
	answers     map[string]*stored
	order       []string // order has the keys of answers, oldest first.
}

// waitWhileFrozen aborts the exchange when the incarnation ends meanwhile.
func (in *instance) waitWhileFrozen() {
	in.host.mu.Lock()
	thawed := in.host.thawed
	in.host.mu.Unlock()
	select {
	case <-thawed:
	case <-in.ended:
		panic(http.ErrAbortHandler)
	}
}

func (in *instance) startWork(requestID string) bool {
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	if in.running >= in.host.options.Slots {
		return false
	}
	in.running++
	in.host.peak = max(in.host.peak, in.running)
	in.host.executions[requestID]++
	in.keep(&stored{requestID: requestID, running: true})
	return true
}

// spend waits for the time of the work and reports whether the incarnation
// still exists.
func (in *instance) spend(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-in.ended:
		return false
	}
}

func (in *instance) finishWork(requestID string, body []byte, failed bool) *stored {
	answer := &stored{requestID: requestID, body: answerBody(requestID, body), failed: failed || parse(body).Fail}
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	in.running--
	in.keep(answer)
	return answer
}

func (in *instance) keep(answer *stored) {
	if in.answers[answer.requestID] == nil {
		in.order = append(in.order, answer.requestID)
	}
	in.answers[answer.requestID] = answer
	for len(in.order) > answersKept {
		delete(in.answers, in.order[0])
		in.order = in.order[1:]
	}
}

func (in *instance) known(requestID string) *stored {
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	return in.answers[requestID]
}

// another returns the answer of a different request.
func (in *instance) another(answer *stored) *stored {
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	for i := len(in.order) - 1; i >= 0; i-- {
		other := in.answers[in.order[i]]
		if other.requestID != answer.requestID && !other.running {
			return other
		}
	}
	return &stored{requestID: "nobody/nothing", body: answerBody("nobody/nothing", nil)}
}

func (in *instance) announcement() minion.Announcement {
	in.host.mu.Lock()
	defer in.host.mu.Unlock()
	return minion.Announcement{Incarnation: in.incarnation, Address: in.host.address.String(), State: in.state}
}

func (in *instance) announce(ctx context.Context) error {
	if in.host.options.Agent == "" {
		return nil
	}
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		in.sendAnnouncement(ctx, client)
		select {
		case <-ctx.Done():
			return nil
		case <-in.host.changed:
		case <-time.After(in.host.options.AnnounceEvery):
		}
	}
}

func (in *instance) sendAnnouncement(ctx context.Context, client *http.Client) {
	in.host.mu.Lock()
	thawed := in.host.thawed
	in.host.mu.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
		return
	}
	data, err := json.Marshal(in.announcement())
	if err != nil {
		return
	}
	req, err := sling.New().Base(in.host.options.Agent).Post(minion.PathAnnounce).Body(bytes.NewReader(data)).Request()
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req.WithContext(ctx))
	if err == nil {
		_ = resp.Body.Close()
	}
}
