package source_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/record/journal"
	"wasabihoist/internal/standin/logservice"
)

// catchUp bounds what takes longer than the promised time because much has to
// be read first.
const catchUp = 20 * time.Second

// Guards against a configuration that is lost when its record leaves the log,
// for a process that starts from the log alone (promise 8). The snapshots have
// several chunks, and two processes publish them at the same time.
func TestConfigurationOutlivesItsRecord(t *testing.T) {
	d := newDeployment(t, 60)
	a, b := d.start("a"), d.start("b")
	a.publishSnapshots()
	b.publishSnapshots()
	version := d.configure(a)
	d.fill(a, 150)
	fresh := d.start("fresh")
	d.assertInForce(version, fresh)
	d.assertAlike(fresh, a)
	d.assertInForce(d.configure(fresh), a, b, fresh)
}

// Guards against a reader that stands still after the log has dropped what it
// would read next.
func TestLaggingReaderCatchesUp(t *testing.T) {
	d := newDeployment(t, 60)
	a, lagging := d.start("a"), d.start("lagging")
	a.publishSnapshots()
	d.assertInForce(d.configure(a), lagging)
	lagging.cut.Store(true)
	version := d.configure(a)
	d.fill(a, 150)
	lagging.cut.Store(false)
	d.assertInForce(version, lagging)
	d.assertAlike(lagging, a)
}

// Guards against a snapshot with a missing or wrong chunk being used, or
// hiding the complete one that follows.
func TestIncompleteSnapshotIsPassedOver(t *testing.T) {
	d := newDeployment(t, 60)
	a := d.start("a")
	version := d.configure(a)
	d.fill(a, 80)
	data, covers, err := a.journal.Snapshot()
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	half := len(data) / 2
	appendChunk := func(index, count int, state []byte) {
		_, err := a.writer.Append(context.Background(), journal.SnapshotChunk{Covers: covers, Index: index, Count: count, State: state})
		c.Assert(err, qt.IsNil)
	}
	appendChunk(0, 3, data[:half]) // The other chunks are missing.
	appendChunk(0, 2, data[:half])
	appendChunk(1, 2, data[:half]) // The second half is wrong.
	appendChunk(1, 2, data[half:])
	appendChunk(0, 2, data[:half])
	d.assertInForce(version, d.start("fresh"))
}

// Guards against processes that start during an outage or a hanging log and
// wait for it although a peer has the configuration.
func TestStartWithoutTheLog(t *testing.T) {
	faults := map[string]logservice.Faults{"outage": {Outage: true}, "hang": {Hang: true}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 60)
			a := d.start("a")
			a.publishSnapshots()
			version := d.configure(a)
			d.fill(a, 150)
			b := d.start("b") // It has the state and not the records that led to it.
			d.assertInForce(version, b)
			d.service.SetFaults(fault)
			fresh := d.start("fresh") // It knows the peer by its notice only.
			fresh.puller.Notice(b.Peer, b.journal.Next())
			d.assertInForce(version, fresh)
			next := d.start("next", fresh)
			next.puller.Notice(fresh.Peer, fresh.journal.Next())
			d.assertInForce(version, next)
		})
	}
}

// Guards against a configuration that is accepted right before an outage and
// stays unknown to the processes that had not read it.
func TestAcceptedBeforeAnOutage(t *testing.T) {
	faults := map[string]logservice.Faults{"outage": {Outage: true}, "hang": {Hang: true}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1000)
			a := d.start("a")
			b, third := d.start("b", a), d.start("third")
			third.setPeers(b)
			d.assertInForce(d.configure(a), b, third)
			b.cut.Store(true)
			third.cut.Store(true)
			version := d.configure(a)
			d.service.SetFaults(fault)
			b.cut.Store(false)
			third.cut.Store(false)
			b.puller.Notice(a.Peer, a.journal.Next())
			third.puller.Notice(a.Peer, a.journal.Next())
			d.assertInForce(version, b, third)
		})
	}
}

// Guards against a region that reads nothing after its reader is gone or has
// gone silent.
func TestRegionReaderIsLost(t *testing.T) {
	tests := map[string]func(*node){
		"gone":   func(n *node) { n.server.CloseClientConnections(); n.server.Listener.Close() },
		"silent": func(n *node) { n.silent.Store(true) },
	}
	for name, lose := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1000)
			a, reader := d.start("a"), d.start("reader")
			member := d.newNode("member", reader)
			member.region.Store(reader)
			member.run()
			d.assertInForce(d.configure(a), reader, member)
			lose(reader)
			d.configure(a) // An exchange that is under way may still carry this one.
			d.assertInForce(d.configure(a), member)
		})
	}
}

// Guards against a silent reader that delays each configuration until a read
// from it has timed out.
func TestSilentReaderDelaysOnce(t *testing.T) {
	c := qt.New(t)
	const configurations, prompt = 8, 2 * time.Second
	d := newDeployment(t, 1000)
	a, reader := d.start("a"), d.start("reader")
	member := d.newNode("member", reader)
	member.region.Store(reader)
	member.run()
	d.assertInForce(d.configure(a), reader, member)
	reader.silent.Store(true)
	d.configure(a) // An exchange that is under way may still carry this one.
	d.assertInForce(d.configure(a), member)
	began := time.Now()
	for range configurations {
		d.assertInForce(d.configure(a), member)
	}
	took := time.Since(began)
	t.Logf("%d configurations in force after %v", configurations, took)
	c.Assert(took < prompt, qt.IsTrue, qt.Commentf("%v", took))
}

// Guards against regions that stay apart, or go back, after the link between
// them was cut.
func TestRegionsPartAndHeal(t *testing.T) {
	d := newDeployment(t, 60)
	near, reader := d.start("near"), d.start("reader")
	near.publishSnapshots()
	member := d.newNode("member", reader)
	member.region.Store(reader)
	member.run()
	old := d.configure(near)
	d.assertInForce(old, reader, member)
	reader.cut.Store(true)
	member.cut.Store(true)
	d.configure(near)
	d.fill(near, 150)
	version := d.configure(near)
	c := qt.New(t)
	c.Assert(member.journal.Configuration().Version, qt.Equals, old)
	reader.cut.Store(false)
	member.cut.Store(false)
	d.assertInForce(version, reader, member)
	d.assertAlike(member, near)
}

// Guards against processes that start together and ask each other for a
// snapshot that none has, instead of the log.
func TestFreshProcessesFindTheSnapshotOnTheLog(t *testing.T) {
	d := newDeployment(t, 60)
	a := d.start("a")
	a.publishSnapshots()
	version := d.configure(a)
	d.fill(a, 150)
	first, second := d.newNode("first"), d.newNode("second")
	first.setPeers(second)
	second.setPeers(first)
	first.run()
	second.run()
	d.assertInForce(version, first, second)
}

// Guards against a silent peer that uses up the time in which others could
// have given their state.
func TestSilentPeerDoesNotHoldUpAStart(t *testing.T) {
	d := newDeployment(t, 60)
	a, silent := d.start("a"), d.start("silent")
	version := d.configure(a)
	d.fill(a, 80)
	silent.silent.Store(true)
	fresh := d.start("fresh", silent, a)
	d.assertWithin(catchUp, version, fresh)
}

// Guards against a snapshot that is too large for one page of the log: a
// reader must get past its chunks.
func TestReaderPassesLargeSnapshots(t *testing.T) {
	d := newDeployment(t, 1000)
	a := d.start("a")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	const chunks, chunkBytes = 60, 200 << 10
	for i := range chunks {
		chunk := journal.SnapshotChunk{Covers: 1, Index: i, Count: chunks, State: make([]byte, chunkBytes)}
		if _, err := a.writer.Append(ctx, chunk); err != nil {
			t.Fatal(err)
		}
	}
	version := d.configure(a)
	d.assertWithin(catchUp, version, d.start("fresh"))
	d.assertWithin(catchUp, version, d.start("by peer", a))
}
