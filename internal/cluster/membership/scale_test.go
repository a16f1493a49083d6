package membership_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/standin/network"
)

const (
	plannedSize     = 440    // plannedSize is the number of members in one data centre.
	bytesPerSecond  = 13_000 // bytesPerSecond is the planned limit per daemon for all control traffic.
	largestMessage  = 8 << 10
	largestJoinPage = 24 << 10
)

// Guards against loads that grow with the group, and against changes that take
// too long to reach all of a data centre of the planned size.
func TestPlannedSize(t *testing.T) {
	run(t, membership.Default(), func(c *qt.C, f *fleet) {
		start := time.Now()
		f.startMany(c, 0, plannedSize)
		c.Logf("join of all: %v", time.Since(start))
		// The announcements of the start are spread by then.
		time.Sleep(45 * time.Second)
		f.measure(c, "quiet", func() { time.Sleep(30 * time.Second) })
		f.measure(c, "draining", func() {
			f.members[name(0, 7)].SetDraining(true)
			c.Logf("draining known by all: %v", f.await(c, 5*time.Second, f.allSee(name(0, 7), membership.Draining)))
		})
		f.measure(c, "crash", func() {
			f.kill(name(0, 9))
			c.Logf("crash known by all: %v", f.await(c, 20*time.Second, f.allSee(name(0, 9), membership.Dead)))
		})
		f.measure(c, "crash of a rack", func() {
			for n := 20; n < 23; n++ {
				f.kill(name(0, n))
			}
			c.Logf("crash of a rack known by all: %v", f.await(c, 20*time.Second, func() bool {
				return f.allSee(name(0, 20), membership.Dead)() && f.allSee(name(0, 21), membership.Dead)() && f.allSee(name(0, 22), membership.Dead)()
			}))
		})
		for _, m := range f.members {
			c.Assert(m.Statistics().Refutations, qt.Equals, uint64(0))
		}
	})
}

// measure logs the traffic per member while step runs and checks it against
// the limits.
func (f *fleet) measure(c *qt.C, title string, step func()) {
	before := f.traffic()
	start := time.Now()
	step()
	seconds := time.Since(start).Seconds()
	after := f.traffic()
	var total, worst float64
	var messages uint64
	largest := 0
	for n, a := range after {
		b := before[n]
		rate := float64(a.Sent+a.Received-b.Sent-b.Received) / seconds
		total += rate
		worst = max(worst, rate)
		messages += a.Requests + a.Served - b.Requests - b.Served
		largest = max(largest, a.LargestMsg)
	}
	count := float64(len(after))
	c.Logf("%s: %.0f B/s per member (worst %.0f), %.1f exchanges/s per member, largest message %d B", title, total/count, worst, float64(messages)/count/seconds, largest)
	c.Assert(total/count < bytesPerSecond, qt.IsTrue)
	c.Assert(largest <= largestJoinPage, qt.IsTrue)
}

func (f *fleet) traffic() map[string]network.Traffic {
	traffic := map[string]network.Traffic{}
	for n, m := range f.members {
		traffic[n] = f.network.Traffic(m.Self().Address)
	}
	return traffic
}

// Guards against messages that grow with the number of known members, also
// when all of them wait to be spread and none answers.
func TestMessageSizeDoesNotGrowWithTheFleet(t *testing.T) {
	largest := func(known int) (request, reply, page int) {
		run(t, membership.Default(), func(c *qt.C, f *fleet) {
			m := f.start(name(0, 1), place(0, 1))
			for i := range known {
				dc, n := i%14, 2+i/14
				member := membership.Member{Name: name(dc, n), Role: membership.Agent, Region: "gulf", DataCentre: fmt.Sprintf("dc%d", dc), Address: place(dc, n), Incarnation: 1, Service: "fitting-desk"}
				answer, err := m.HandleProbe(f.group.Context(), &wire.ProbeRequest{From: membership.Encode(member)})
				c.Assert(err, qt.IsNil)
				reply = max(reply, proto.Size(answer))
				answer, err = m.HandleProbe(f.group.Context(), &wire.ProbeRequest{From: membership.Encode(member), Join: true})
				c.Assert(err, qt.IsNil)
				page = max(page, proto.Size(answer))
			}
			c.Assert(m.Members(), qt.HasLen, known+1)
			time.Sleep(30 * time.Second)
			request = f.network.Traffic(place(0, 1)).LargestMsg
		})
		return request, reply, page
	}
	request, reply, page := largest(2000)
	t.Logf("2000 known members: request %d B, reply %d B, page of a join %d B", request, reply, page)
	qt.Assert(t, request < largestMessage, qt.IsTrue)
	qt.Assert(t, reply < largestMessage, qt.IsTrue)
	qt.Assert(t, page < largestJoinPage, qt.IsTrue)
	fewRequest, fewReply, fewPage := largest(600)
	qt.Assert(t, float64(request) < 1.1*float64(fewRequest), qt.IsTrue)
	qt.Assert(t, float64(reply) < 1.1*float64(fewReply), qt.IsTrue)
	qt.Assert(t, float64(page) < 1.1*float64(fewPage), qt.IsTrue)
}

// Guards against changes that take too long to cross data centres, and against
// delegates whose traffic exceeds the limit of a daemon.
func TestPlannedNumberOfDataCentres(t *testing.T) {
	const centres, size = 14, 15
	run(t, membership.Default(), func(c *qt.C, f *fleet) {
		f.network.SetLatency(func(from, to netip.AddrPort) time.Duration {
			if centre(from) == centre(to) {
				return 1500 * time.Microsecond
			}
			return 8 * time.Millisecond
		})
		start := time.Now()
		for dc := range centres {
			f.startMany(c, dc, size)
		}
		c.Logf("start of all data centres: %v", time.Since(start))
		time.Sleep(30 * time.Second)
		f.measure(c, "quiet, 14 data centres", func() { time.Sleep(30 * time.Second) })
		f.members[name(3, 7)].SetDraining(true)
		c.Logf("draining known by all: %v", f.await(c, 6*time.Second, f.allSee(name(3, 7), membership.Draining)))
		f.kill(name(5, 7))
		c.Logf("crash known by all: %v", f.await(c, 20*time.Second, f.allSee(name(5, 7), membership.Dead)))
		for n := range size {
			f.kill(name(9, n))
		}
		c.Logf("loss of a data centre known by all: %v", f.await(c, 30*time.Second, func() bool {
			return f.all(func(list []membership.Member) bool { return working(list) == (centres-1)*size-1 })
		}))
	})
}
