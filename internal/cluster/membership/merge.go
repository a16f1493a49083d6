package membership

import (
	"slices"
	"time"

	"wasabihoist/internal/cluster/wire"
)

// hearsayFactor is multiplied by the suspicion time when a process has not
// probed the suspect itself. A verdict takes seconds to reach all of a large
// group.
const hearsayFactor = 3

// source says how a member was heard of.
type source int

const (
	rumour source = iota // rumour is a piggybacked change; it is passed on.
	direct               // direct comes from the member itself; it is passed on.
	listed               // listed comes from a page of the sender's list; the group knows it already.
	remote               // remote comes from a page of another data centre; it is passed on.
)

// receive merges a decoded message. It returns the function to call with the
// sender's offset after the lock is released.
func (m *Membership) receive(msg message, pageSource source) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.merge(msg.from, direct)
	for _, c := range msg.changes {
		m.merge(c, rumour)
	}
	for _, c := range msg.page {
		m.merge(c, pageSource)
	}
	if msg.from.DataCentre == m.self.member.DataCentre {
		m.mergeReachability(msg.reachability)
	}
	call, from, offset := m.onOffset, msg.from, msg.offset
	if call == nil || from.Name == m.self.member.Name {
		return func() {}
	}
	return func() { call(from, offset) }
}

// merge applies one report by the rule of Member.Supersedes. The caller holds
// the lock.
func (m *Membership) merge(report Member, from source) {
	if report.Name == m.self.member.Name {
		m.mergeSelf(report)
		return
	}
	r := m.table.byName[report.Name]
	if r == nil {
		// A dead member that is not known here has been removed already.
		// Adding it again would keep it in circulation for ever.
		if report.State != Dead {
			m.addMember(report, from)
		}
		return
	}
	if !report.Supersedes(r.member) {
		if from == direct {
			m.mergeLoad(r, report)
		}
		return
	}
	// After a partition each side lists the other as dead. A suspicion gives
	// the members time to refute this; a death that the member itself has
	// announced has a higher revision and is taken at once.
	sameRevision := report.Incarnation == r.member.Incarnation && report.Revision == r.member.Revision
	if from == listed && report.State == Dead && sameRevision && m.local(r) {
		if r.member.State != Suspect {
			report.State = Suspect
			m.change(r, report, false)
			r.recheck = true
			r.deadline = time.Now().Add(m.options.SuspicionTime)
		}
		return
	}
	m.change(r, report, from != listed)
}

func (m *Membership) addMember(report Member, from source) {
	r := m.table.add(report)
	if report.DataCentre == m.self.member.DataCentre {
		// A round over a large group takes minutes; a new member must not
		// wait for the next one.
		m.ring = slices.Insert(m.ring, m.random.IntN(len(m.ring)+1), report.Name)
		m.introduce(r)
	}
	m.change(r, report, from != listed)
}

// introduce lets this process spread the news of itself again, and read the
// list of a member that has become known. Processes that start together have
// spread the news of their start before they know each other, and a list that
// is read soon after a start is not complete.
func (m *Membership) introduce(r *record) {
	if time.Since(m.started) >= introductionTime {
		return
	}
	m.enqueue(m.self)
	if m.introductions < maxIntroductions {
		m.introductions++
		m.unread = append(m.unread, r.member)
	}
}

// change stores a new version of a member, starts or ends its suspicion and
// passes the change on. The caller holds the lock.
func (m *Membership) change(r *record, report Member, spread bool) {
	now := time.Now()
	if report.Incarnation != r.member.Incarnation || report.Address != r.member.Address {
		r.failed = false
	}
	m.table.replace(r, report)
	m.table.touch(r, now)
	r.deadline, r.recheck = time.Time{}, false
	delete(m.suspects, report.Name)
	if report.State == Suspect && m.local(r) {
		// A process that only heard of the suspicion leaves the verdict to the
		// one that probes the suspect. When it hears nothing for this time, it
		// probes the suspect itself.
		r.deadline = now.Add(hearsayFactor * m.options.SuspicionTime)
		m.suspects[report.Name] = r
	}
	if report.State == Dead {
		m.statistics.Deaths++
	}
	if spread {
		m.enqueue(r)
	}
	m.notify()
}

func (m *Membership) mergeLoad(r *record, report Member) {
	if report.Incarnation != r.member.Incarnation || r.member.Waiting == report.Waiting && r.member.Running == report.Running {
		return
	}
	r.member.Waiting, r.member.Running = report.Waiting, report.Running
	m.loadChanged = true
}

// mergeSelf refutes reports of this process that are worse than its state.
func (m *Membership) mergeSelf(report Member) {
	self := &m.self.member
	if m.leaving || !report.Supersedes(*self) {
		return
	}
	if report.Incarnation > self.Incarnation {
		if report.Address != self.Address {
			m.statistics.Superseded++
			return
		}
		// An earlier process at this address had a clock that was ahead.
		self.Incarnation, self.Revision = report.Incarnation+1, 0
	}
	m.statistics.Refutations++
	self.Revision = max(self.Revision, report.Revision)
	m.changeSelf(self.State)
}

// changeSelf gives this process a new revision and state. The caller holds the
// lock.
func (m *Membership) changeSelf(state State) {
	m.self.member.Revision++
	m.self.member.State = state
	m.table.touch(m.self, time.Now())
	m.enqueue(m.self)
	m.notify()
}

func (m *Membership) local(r *record) bool {
	return r.member.DataCentre == m.self.member.DataCentre
}

// reachability is the verdict of this data centre on another one.
type reachability struct {
	revision    uint64
	unreachable bool
	transmits   int
}

// mergeReachability takes newer verdicts of the own data centre.
func (m *Membership) mergeReachability(verdicts []*wire.Reachability) {
	for _, v := range verdicts {
		known := m.reachability[v.DataCentre]
		if known != nil && known.revision >= v.Revision {
			continue
		}
		// Verdicts on data centres without members would grow without bound.
		if m.table.byCentre[v.DataCentre] == nil {
			continue
		}
		m.reachability[v.DataCentre] = &reachability{revision: v.Revision, unreachable: v.Unreachable}
		m.notify()
	}
}

// judge records the verdict of this process as the delegate to a data centre.
func (m *Membership) judge(centre string, unreachable bool) {
	known := m.reachability[centre]
	if known == nil {
		known = &reachability{}
		m.reachability[centre] = known
	}
	if known.unreachable == unreachable {
		return
	}
	known.revision++
	known.unreachable = unreachable
	known.transmits = 0
	m.notify()
}
