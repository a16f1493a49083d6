package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/platformlog"
)

const (
	// callTimeout bounds one call of a relay. It is longer than the wait for
	// the append before and the append itself on a log that is slow.
	callTimeout = 4500 * time.Millisecond
	// holdoff is how long appends go directly to the log after a relay has
	// failed. The member list names another relay within it.
	holdoff = 5 * time.Second
	// maxRelayed is the largest batch that goes through a relay. A larger one
	// gains nothing from sharing an append.
	maxRelayed = 32 << 10
)

// Directory names the relay of the own data centre.
type Directory interface {
	// Relay returns the address of the relay. It reports false when appends go
	// directly to the log.
	Relay() (netip.AddrPort, bool)
}

// Dial returns a client of the relay at an address.
type Dial func(address netip.AddrPort) wire.Relay

// DialOver returns clients that call relays over a transport. It should open a
// connection for each call, because an open one that has gone silent would leave
// the fate of a batch open.
func DialOver(transport http.RoundTripper) Dial {
	return func(address netip.AddrPort) wire.Relay {
		return wire.NewRelayProtobufClient("http://"+address.String(), &http.Client{Transport: transport})
	}
}

// Log appends through the relay of the data centre and reads from the log
// itself. It implements platformlog.Log.
type Log struct {
	platformlog.Log
	directory Directory
	dial      Dial
	own       *Relay         // own is nil in a process that is never a relay.
	address   netip.AddrPort // address is that of the own relay.

	mu     sync.Mutex
	resume time.Time // resume is when the relay is asked again after a failure.
}

// NewLog returns a log over direct. A process that may be a relay gives its own
// one and the address at which others reach it.
func NewLog(direct platformlog.Log, directory Directory, dial Dial, own *Relay, address netip.AddrPort) *Log {
	return &Log{Log: direct, directory: directory, dial: dial, own: own, address: address}
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, payload []byte) (int64, error) {
	address, ok := l.directory.Relay()
	switch {
	case !ok || len(payload) > maxRelayed:
		return l.Log.Append(ctx, payload)
	case l.own != nil && address == l.address:
		return l.own.Append(ctx, payload)
	case l.held():
		return l.Log.Append(ctx, payload)
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.dial(address).AppendBatch(callCtx, &wire.AppendBatchRequest{Payload: payload})
	if err == nil {
		return reply.GetOffset(), nil
	}
	return l.failed(ctx, payload, err)
}

// failed appends directly when the batch certainly did not reach the log and
// the relay, not the log, is the reason. An earlier version of the program
// answers with the code bad_route.
func (l *Log) failed(ctx context.Context, payload []byte, err error) (int64, error) {
	var failure twirp.Error
	code := twirp.NoError
	if errors.As(err, &failure) {
		code = failure.Code()
	}
	switch {
	case code == twirp.OutOfRange:
		return 0, fmt.Errorf("append through the relay: %w: %w", platformlog.ErrTooLarge, platformlog.ErrNotAppended)
	case code == twirp.FailedPrecondition:
		return 0, fmt.Errorf("append through the relay: %w: %w", platformlog.ErrNotAppended, err)
	case code == twirp.Aborted || code == twirp.BadRoute || platformlog.DialFailed(err):
		l.hold()
		return l.Log.Append(ctx, payload)
	}
	l.hold()
	return 0, fmt.Errorf("append through the relay: %w", err)
}

func (l *Log) hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resume = time.Now().Add(holdoff)
}

func (l *Log) held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.resume)
}
