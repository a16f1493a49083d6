// Package membershipbench measures what membership costs one process: bytes,
// messages, processor time and memory.
package membershipbench

import (
	"context"
	"fmt"
	"net/netip"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/network"
)

// Options are the settings of a measurement. Start from Default.
type Options struct {
	Sizes     []int         // Sizes are the numbers of members in one data centre.
	Settle    time.Duration // Settle lies between the start of all members and the measurement.
	Window    time.Duration // Window is the length of the measurement.
	Exchanges int           // Exchanges is the number of exchanges over loopback.
	Known     int           // Known is the number of members in the measurement of memory.
}

// Default returns the settings for the planned sizes. With 45 s of settling,
// the announcements of 440 members were still being spread.
func Default() Options {
	return Options{Sizes: []int{50, 100, 200, 440}, Settle: 90 * time.Second, Window: 10 * time.Second, Exchanges: 2000, Known: 2000}
}

// Point is the cost per member in a quiet data centre of one size. Rates count
// both directions and leave out headers.
type Point struct {
	Members           int
	Complete          bool    // Complete is set when every member knew all others at the end.
	BytesPerSecond    float64 // BytesPerSecond are sent and received.
	MessagesPerSecond float64 // MessagesPerSecond are requests and replies, sent and received.
	RequestsPerSecond float64 // RequestsPerSecond are the exchanges that a member starts; it serves as many.
	CPUPerSecond      float64 // CPUPerSecond is the share of one core, without HTTP.
	LargestMessage    int     // LargestMessage is in bytes and includes the join.
}

// Run performs all measurements.
func Run(ctx context.Context, options Options) (Report, error) {
	report := Report{}
	for _, size := range options.Sizes {
		point, err := MeasureFleet(ctx, size, options.Settle, options.Window)
		if err != nil {
			return Report{}, err
		}
		report.Points = append(report.Points, point)
	}
	for _, fresh := range []bool{false, true} {
		exchange, err := MeasureExchange(ctx, options.Exchanges, fresh)
		if err != nil {
			return Report{}, err
		}
		report.Exchanges = append(report.Exchanges, exchange)
	}
	var err error
	report.BytesPerKnownMember, err = MeasureMemory(ctx, options.Known)
	return report, err
}

// MeasureFleet runs members in one process on an in-memory network.
func MeasureFleet(ctx context.Context, size int, settle, window time.Duration) (Point, error) {
	g := group.New(ctx)
	net := network.New(time.Millisecond)
	members := make([]*membership.Membership, size)
	for i := range members {
		members[i] = startMember(g, net, i)
	}
	before, cpu, ok := waitAndRead(g.Context(), net, size, settle)
	if !ok {
		return Point{}, fmt.Errorf("measure %d members: %w", size, ctx.Err())
	}
	after, cpuAfter, ok := waitAndRead(g.Context(), net, size, window)
	if !ok {
		return Point{}, fmt.Errorf("measure %d members: %w", size, ctx.Err())
	}
	point := newPoint(size, window, before, after)
	point.CPUPerSecond = (cpuAfter - cpu).Seconds() / window.Seconds() / float64(size)
	point.Complete = true
	for _, m := range members {
		point.Complete = point.Complete && len(m.Members()) == size
	}
	g.Stop()
	return point, g.Wait()
}

func startMember(g *group.Group, net *network.Network, i int) *membership.Membership {
	address := addressOf(i)
	options := membership.Default()
	options.Seeds = []netip.AddrPort{addressOf(0)}
	m := membership.New(options, memberOf(i), net.Transport(address))
	net.Attach(address, m)
	g.Go(m.Self().Name, m.Run)
	return m
}

func addressOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

func memberOf(i int) membership.Member {
	return membership.Member{
		Name: fmt.Sprintf("biloxi-annex-agent-%04d", i), Role: membership.Agent,
		Region: "gulf", DataCentre: "biloxi-annex", Address: addressOf(i),
		Incarnation: time.Now().UnixNano(), Service: "fitting-desk", Waiting: i % 20, Running: i % 8,
	}
}

// waitAndRead waits and then reads the sum of the traffic of all members and
// the processor time of this process.
func waitAndRead(ctx context.Context, net *network.Network, size int, wait time.Duration) (network.Traffic, time.Duration, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return network.Traffic{}, 0, false
	case <-timer.C:
	}
	var total network.Traffic
	for i := range size {
		t := net.Traffic(addressOf(i))
		total.Requests += t.Requests
		total.Served += t.Served
		total.Sent += t.Sent
		total.Received += t.Received
		total.LargestMsg = max(total.LargestMsg, t.LargestMsg)
	}
	return total, usage.ProcessorTime(), true
}

func newPoint(size int, window time.Duration, before, after network.Traffic) Point {
	perMember := func(count uint64) float64 { return float64(count) / window.Seconds() / float64(size) }
	requests := after.Requests - before.Requests
	served := after.Served - before.Served
	return Point{
		Members:           size,
		BytesPerSecond:    perMember(after.Sent + after.Received - before.Sent - before.Received),
		MessagesPerSecond: perMember(2 * (requests + served)),
		RequestsPerSecond: perMember(requests),
		LargestMessage:    after.LargestMsg,
	}
}

// MeasureMemory returns the heap bytes per known member, averaged over several
// processes' lists.
func MeasureMemory(ctx context.Context, known int) (float64, error) {
	const lists = 10
	kept := make([]*membership.Membership, lists)
	before := usage.Heap()
	for i := range kept {
		m := membership.New(membership.Default(), memberOf(0), nil)
		for n := 1; n <= known; n++ {
			if err := introduce(ctx, m, memberOf(n)); err != nil {
				return 0, fmt.Errorf("fill member list: %w", err)
			}
		}
		kept[i] = m
	}
	after := usage.Heap()
	runtime.KeepAlive(kept)
	return float64(after-before) / lists / float64(known), nil
}

// introduce sends a member's probe through the encoding, because decoded
// members share no text.
func introduce(ctx context.Context, m *membership.Membership, known membership.Member) error {
	data, err := proto.Marshal(&wire.ProbeRequest{From: membership.Encode(known)})
	if err != nil {
		return fmt.Errorf("encode probe: %w", err)
	}
	request := &wire.ProbeRequest{}
	if err := proto.Unmarshal(data, request); err != nil {
		return fmt.Errorf("decode probe: %w", err)
	}
	_, err = m.HandleProbe(ctx, request)
	return err
}
