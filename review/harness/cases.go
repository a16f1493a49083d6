package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	finish = 14 * time.Second // finish is finish_s of the settings.
	idle   = 3 * time.Second  // idle is how long a job may have nothing running, by the rule LOST.
)

var cases = map[string]*testCase{
	"late":      {kinds: minions(minionCount), run: lateStart},
	"deadlock":  {kinds: minions(minionCount), run: deadlock},
	"exclusion": {kinds: append(minions(minionCount-1), rareMinion), run: exclusion},
	"probation": {kinds: minions(minionCount), run: probation},
	"count":     {kinds: append(minions(minionCount-1), rareMinion), run: pendingCount},
}

// minionCount is the number of minions of the users' small deployments.
const minionCount = 11

// rareMinion is the only minion of its kind.
var rareMinion = []string{"b", "r4"}

// minions returns the labels of minions of one kind, three a rack.
func minions(count int) [][]string {
	var list [][]string
	for i := range count {
		list = append(list, []string{"a", fmt.Sprint("r", i/3+1)})
	}
	return list
}

var oneGPU = resources{1000, 4000, 1}

func newID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// judge asks for a job finish after the end of the traffic, and applies the rule LOST:
// for idle, the job has nothing running while its turn has come, there is capacity
// for it twice over, and under half of the capacity of its service is in use.
func (d *deployment) judge(j *job, trafficEnd time.Time) string {
	for time.Now().Before(trafficEnd.Add(finish)) {
		time.Sleep(100 * time.Millisecond)
		if d.done(j) {
			break
		}
	}
	var since time.Time
	state := d.state(j)
	if state == "no answer" {
		return "no entry answers for the job " + j.id
	}
	for at := time.Now(); time.Since(at) < idle+2*time.Second; time.Sleep(50 * time.Millisecond) {
		starved, why := d.starved(j)
		switch {
		case d.done(j):
			return ""
		case !starved:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
			d.rec.add("job has nothing running", "job", j.id, "why", why)
		case time.Since(since) >= idle:
			return fmt.Sprintf("LOST: job %s, accepted %.1f s ago and shown as %q, has had nothing running for %.1f s while its turn has come: %s",
				j.id, time.Since(j.accepted).Seconds(), d.state(j), time.Since(since).Seconds(), why)
		}
	}
	return ""
}

func (d *deployment) done(j *job) bool {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return len(j.doneTasks) > 0 && (j.gang || len(j.doneTasks) == j.count)
}

// starved reports whether nothing of a job runs although there is room for it twice
// over, and under half of the capacity of its service is in use.
func (d *deployment) starved(j *job) (bool, string) {
	f := d.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	var capacity, used resources
	room := 0
	for _, m := range f.minions {
		capacity, used = capacity.add(m.capacity), used.add(m.used())
		if !m.failing && (j.label == "" || slices.Contains(m.labels, j.label)) {
			room += m.capacity.sub(m.used()).count(j.need)
		}
		for _, r := range m.runs {
			if r.work.job == j {
				return false, ""
			}
		}
	}
	half := 2*used.cpu < capacity.cpu && 2*used.mem < capacity.mem && 2*used.gpu < capacity.gpu
	return half && room >= 2*j.count, fmt.Sprintf("%d of its %d tasks fit at once, and %d of %d accelerators are in use", room, j.count, used.gpu, capacity.gpu)
}

// exclusion: the only minion with a label fails what it starts for a moment.
func exclusion(d *deployment, trouble bool) (string, error) {
	m := d.fleet.minions[len(d.fleet.minions)-1]
	d.setFailing(m, trouble)
	j := &job{id: newID(1), queue: queueOne, label: "b", count: 1, need: oneGPU, estimate: 2 * time.Second, work: work{duration: 2 * time.Second}}
	if !d.submit(j) {
		return "", fmt.Errorf("the job was not accepted")
	}
	if trouble {
		if !d.await(5*time.Second, func() bool { return m.failures > 0 }) {
			return "", fmt.Errorf("the job was not started on the failing minion")
		}
		d.setFailing(m, false)
	}
	return d.judge(j, time.Now()), nil
}

// await waits until a condition on the fleet holds.
func (d *deployment) await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		d.fleet.mu.Lock()
		d.fleet.settle()
		ok := condition()
		d.fleet.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

func (d *deployment) setFailing(m *minion, failing bool) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	m.failing = failing
	d.rec.add("minion fails what it starts", "minion", m.id, "now", failing)
}

// probation: each task of a lasting job fails once at its start, and another lasting
// job comes later.
func probation(d *deployment, trouble bool) (string, error) {
	first := &job{id: newID(1), queue: queueOne, count: minionCount, spread: 1, need: oneGPU, estimate: 2 * time.Second, work: work{duration: 500 * time.Millisecond, lasting: true}}
	if trouble {
		first.work.flaky = 1
	}
	if !d.submit(first) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(10 * time.Second)
	j := &job{id: newID(2), queue: queueOne, count: 1, need: oneGPU, estimate: 2 * time.Second, work: work{duration: 500 * time.Millisecond, lasting: true}}
	if !d.submit(j) {
		return "", fmt.Errorf("the job was not accepted")
	}
	return d.judge(j, time.Now()), nil
}

// deadlock: one minion fails what it starts for a moment, and a gang comes that needs
// all minions, and then a small job.
func deadlock(d *deployment, trouble bool) (string, error) {
	m := d.fleet.minions[0]
	d.setFailing(m, trouble)
	first := &job{id: newID(1), queue: queueTwo, count: minionCount, spread: 1, need: oneGPU, estimate: time.Second, work: work{duration: time.Second}}
	if !d.submit(first) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	d.setFailing(m, false)
	if trouble && m.failures == 0 {
		return "", fmt.Errorf("the job was not started on the failing minion")
	}
	time.Sleep(3 * time.Second)
	large := &job{id: newID(2), queue: queueOne, gang: true, count: 2 * minionCount, need: resources{26000, 60000, 4}, estimate: time.Hour, work: work{duration: time.Hour}}
	if !d.submit(large) {
		return "", fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Second)
	j := &job{id: newID(3), queue: queueOne, count: 1, need: oneGPU, estimate: time.Hour, work: work{duration: time.Hour}}
	if !d.submit(j) {
		return "", fmt.Errorf("the job was not accepted")
	}
	return d.judge(j, time.Now()), nil
}

// greyTime is how long the minion refuses all starts; the site files have up to 6.5 s.
const greyTime = 6500 * time.Millisecond

// pendingCount: the only minion with a label refuses all starts for a while, as an
// unhealthy one does. The rule MIXED bounds pendingCount from below.
func pendingCount(d *deployment, trouble bool) (string, error) {
	m := d.fleet.minions[len(d.fleet.minions)-1]
	set := func(shedding bool) {
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		m.shedding = shedding
		d.rec.add("minion refuses all starts with 503", "minion", m.id, "now", shedding)
	}
	set(trouble)
	begin := time.Now()
	var jobs []*job
	for i := range 4 {
		j := &job{id: newID(1 + i), queue: queueOne, label: "b", count: 1, need: oneGPU, estimate: 2 * time.Second, work: work{duration: 2 * time.Second}}
		if !d.submit(j) {
			return "", fmt.Errorf("the job was not accepted")
		}
		jobs = append(jobs, j)
	}
	const visible = 3*time.Second + 2*time.Second // visible is visible_ms and 2 s more.
	broken := ""
	for time.Since(begin) < greyTime {
		time.Sleep(200 * time.Millisecond)
		asked := time.Now()
		for e := range d.entries {
			status, reply := d.call(e, "GET", queueOne, nil)
			count, ok := reply["pendingCount"].(float64)
			if status != 200 || !ok {
				continue
			}
			waiting := 0
			d.fleet.mu.Lock()
			for _, j := range jobs {
				if j.lastRun.IsZero() && asked.Sub(j.accepted) > visible {
					waiting++
				}
			}
			d.fleet.mu.Unlock()
			if 2*count < float64(waiting) {
				broken = fmt.Sprintf("MIXED: entry %d gives %v as pendingCount, but %d jobs that were accepted over 5 s before have not begun", e+1, count, waiting)
				d.rec.add("wrong count", "finding", broken)
			}
		}
	}
	set(false)
	return broken, nil
}

const (
	lateBy   = 6 * time.Second // lateBy is how much later an order is carried out; the bench has 2 to 12 s.
	downTime = time.Second     // downTime is how long a minion is down after a crash.
	// otherTasks is how many starts are answered at once beside the late one, so that
	// the late one is less than the 0.055 of the orders that the site file names.
	otherTasks = 24
)

// lateStart: the first start of a task is not answered and arrives late, the next try
// is carried out at once, and the minion crashes and starts again in between.
func lateStart(d *deployment, trouble bool) (string, error) {
	if trouble {
		for _, m := range d.fleet.minions {
			m.proxy.mu.Lock()
			m.proxy.task, m.proxy.delay = newID(1), lateBy
			m.proxy.mu.Unlock()
		}
	}
	j := &job{id: newID(1), queue: queueOne, count: 1, need: oneGPU, estimate: 10 * time.Second, work: work{duration: 10 * time.Second}}
	other := &job{id: newID(2), queue: queueOne, count: otherTasks, need: oneGPU, estimate: 2 * time.Second, work: work{duration: 2 * time.Second}}
	for _, next := range []*job{j, other} {
		if !d.submit(next) {
			return "", fmt.Errorf("the job was not accepted")
		}
	}
	var on *minion
	started := d.await(3*time.Second, func() bool {
		for _, m := range d.fleet.minions {
			if m.runs[j.id+".0.0.0"] != nil {
				on = m
			}
		}
		return on != nil
	})
	if !started {
		return "", fmt.Errorf("the job was not started")
	}
	for _, m := range d.fleet.minions {
		m.proxy.mu.Lock()
		m.proxy.delay = 0 // One order is late.
		m.proxy.mu.Unlock()
	}
	if trouble {
		time.Sleep(2 * time.Second)
		on.crash()
		time.Sleep(downTime)
		if err := on.restart(); err != nil {
			return "", err
		}
	}
	d.await(2*lateBy, func() bool { return d.fleet.twice != "" })
	return d.fleet.twice, nil
}
