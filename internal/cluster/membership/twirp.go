package membership

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/cluster/wire"
)

const (
	exchangeTimeout = 2 * time.Second // exchangeTimeout bounds exchanges whose context has no earlier deadline.
	idleConnections = 16
	idleTime        = 10 * time.Second
	maxReplyBytes   = 256 << 10
	maxHeaderBytes  = 8 << 10
	connectTimeout  = time.Second
)

var errReplyTooLarge = errors.New("reply exceeds the size limit")

// TwirpTransport carries probes over HTTP. It must be created with
// NewTwirpTransport.
type TwirpTransport struct {
	reused *http.Client // reused keeps a few idle connections.
	fresh  *http.Client // fresh opens a connection for each exchange.
}

// NewTwirpTransport returns a transport with its own connections.
func NewTwirpTransport() *TwirpTransport {
	return &TwirpTransport{reused: newHTTPClient(false), fresh: newHTTPClient(true)}
}

func newHTTPClient(fresh bool) *http.Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConns:           idleConnections,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleTime,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &http.Client{Transport: limitedTransport{transport}, Timeout: exchangeTimeout}
}

// Probe implements Transport.
func (t *TwirpTransport) Probe(ctx context.Context, address netip.AddrPort, request *wire.ProbeRequest, fresh bool) (*wire.ProbeReply, error) {
	client := t.reused
	if fresh {
		client = t.fresh
	}
	return wire.NewPeerProtobufClient("http://"+address.String(), client).Probe(ctx, request)
}

// Close closes idle connections.
func (t *TwirpTransport) Close() {
	t.reused.CloseIdleConnections()
}

// limitedTransport bounds the size of reply bodies, which the generated client
// reads without a limit.
type limitedTransport struct {
	*http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: response.Body, left: maxReplyBytes}
	return response, nil
}

type limitedBody struct {
	io.ReadCloser
	left int
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= n
	if b.left < 0 {
		return 0, errReplyTooLarge
	}
	return n, err
}
