package membershipbench

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/base/webserver"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/transport"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/run/bench/usage"
)

// Exchange is the cost of one exchange over loopback with HTTP, client and
// server together.
type Exchange struct {
	Fresh        bool    // Fresh exchanges open a connection each.
	Count        int     // Count is the number of exchanges measured.
	PayloadBytes float64 // PayloadBytes are the encoded request and reply.
	HeaderBytes  float64 // HeaderBytes are HTTP headers in both directions, without TCP and IP.
	CPUSeconds   float64 // CPUSeconds is the processor time.
	MeanSeconds  float64 // MeanSeconds is the mean time that an exchange took.
}

// peerServer serves only the probe of the Peer service.
type peerServer struct {
	wire.Peer
	member *membership.Membership
}

// Probe implements wire.Peer.
func (s peerServer) Probe(ctx context.Context, request *wire.ProbeRequest) (*wire.ProbeReply, error) {
	return s.member.HandleProbe(ctx, request)
}

// MeasureExchange performs exchanges with a server in this process.
func MeasureExchange(ctx context.Context, count int, fresh bool) (Exchange, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Exchange{}, fmt.Errorf("listen: %w", err)
	}
	var bytes atomic.Int64
	listener := transport.CountListener(inner, &bytes, &bytes)
	server := &http.Server{
		Handler:           wire.NewPeerServer(peerServer{member: membership.New(membership.Default(), memberOf(0), nil)}),
		ReadHeaderTimeout: time.Second,
	}
	g := group.New(ctx)
	g.Go("server", func(ctx context.Context) error { return webserver.Serve(ctx, server, listener) })
	result, err := exchangeMany(g.Context(), listener, &bytes, count, fresh)
	g.Stop()
	return result, errors.Join(err, g.Wait())
}

func exchangeMany(ctx context.Context, listener net.Listener, bytes *atomic.Int64, count int, fresh bool) (Exchange, error) {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return Exchange{}, fmt.Errorf("listener address: %w", err)
	}
	prober := membership.NewTwirpTransport()
	defer prober.Close()
	request := &wire.ProbeRequest{From: membership.Encode(memberOf(1)), AppliedOffset: 1 << 30}
	payload := 0
	start, cpu := time.Now(), usage.ProcessorTime()
	for range count {
		reply, err := prober.Probe(ctx, address, request, fresh)
		if err != nil {
			return Exchange{}, fmt.Errorf("exchange over loopback: %w", err)
		}
		payload += proto.Size(request) + proto.Size(reply)
	}
	each := 1 / float64(count)
	return Exchange{
		Fresh:        fresh,
		Count:        count,
		PayloadBytes: float64(payload) * each,
		HeaderBytes:  float64(bytes.Load()-int64(payload)) * each,
		CPUSeconds:   (usage.ProcessorTime() - cpu).Seconds() * each,
		MeanSeconds:  time.Since(start).Seconds() * each,
	}, nil
}
