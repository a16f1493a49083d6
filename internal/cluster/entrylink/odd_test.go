package entrylink_test

import (
	"context"
	"errors"
	"math"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/entrylink"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/gateway"
)

// scriptedEntry answers all forwarded calls with the same reply.
type scriptedEntry struct{ reply *wire.ForwardReply }

func (e scriptedEntry) Forward(context.Context, *wire.ForwardRequest) (*wire.ForwardReply, error) {
	return e.reply, nil
}

// Guards against an outcome or a state of another version that is shown to a client,
// ends a handler, or counts as proof that the call had no effect.
func TestOddReplyLeavesFateOpen(t *testing.T) {
	const known = int64(gateway.Known)
	for name, tt := range map[string]struct {
		reply *wire.ForwardReply
		want  gateway.Answer
		err   string
	}{
		"good":                 {reply: &wire.ForwardReply{Outcome: known, State: int64(workload.Done), RetryAfterMillis: 5}, want: gateway.Answer{Outcome: gateway.Known, State: workload.Done, RetryAfter: 5 * time.Millisecond}},
		"last outcome":         {reply: &wire.ForwardReply{Outcome: int64(gateway.Unavailable)}, want: gateway.Answer{Outcome: gateway.Unavailable}},
		"unknown outcome":      {reply: &wire.ForwardReply{Outcome: int64(gateway.Unavailable) + 1}, err: "forward: unknown outcome 10"},
		"negative outcome":     {reply: &wire.ForwardReply{Outcome: -1}, err: "forward: unknown outcome -1"},
		"outcome of 32 bits":   {reply: &wire.ForwardReply{Outcome: math.MaxInt64}, err: "forward: unknown outcome .*"},
		"unknown state":        {reply: &wire.ForwardReply{Outcome: known, State: int64(workload.Cancelled) + 1}, err: "forward: unknown state 5"},
		"negative state":       {reply: &wire.ForwardReply{Outcome: known, State: -1}, err: "forward: unknown state -1"},
		"retry after overflow": {reply: &wire.ForwardReply{RetryAfterMillis: math.MaxInt64}, want: gateway.Answer{RetryAfter: time.Hour}},
		"negative numbers":     {reply: &wire.ForwardReply{RetryAfterMillis: -5, Pending: -3}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			client := entrylink.NewClient(address(c, wire.NewEntryPeerServer(scriptedEntry{tt.reply}).ServeHTTP), transport.New(nil, nil).Fresh())
			answer, err := client.Forward(context.Background(), gateway.Call{Method: gateway.Cancel, Wait: time.Second})
			if tt.err != "" {
				c.Check(err, qt.ErrorMatches, tt.err)
				c.Check(errors.Is(err, gateway.ErrNotSent), qt.IsFalse)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Check(answer, qt.Equals, tt.want)
		})
	}
}

// Guards against a handler that panics because an entry of another version forwards
// a method that this one doesn't know.
func TestUnknownMethodIsAnError(t *testing.T) {
	for name, method := range map[string]int64{"next": int64(gateway.Count) + 1, "negative": -1, "largest": math.MaxInt64} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := address(c, entrylink.Handler(nil).ServeHTTP) // Such a call does not reach the gateway.
			peer := wire.NewEntryPeerProtobufClient("http://"+address.String(), http.DefaultClient)
			_, err := peer.Forward(context.Background(), &wire.ForwardRequest{Method: method})
			var failure twirp.Error
			c.Assert(errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(failure.Code(), qt.Equals, twirp.InvalidArgument)
		})
	}
}
