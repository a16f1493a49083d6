package lease

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/worker"
)

// callErrors maps the failure numbers of TaskCallReply to the errors of calls.
var callErrors = []error{
	nil, worker.ErrStaleLease, worker.ErrUnknownTask, worker.ErrRefused, worker.ErrUnreachable, worker.ErrOutcomeUnknown,
}

func sessionToWire(id SessionID) *wire.LeaseSession {
	return &wire.LeaseSession{Owner: id.Owner, DataCentre: id.DataCentre, Number: id.Number}
}

func sessionFromWire(m *wire.LeaseSession) SessionID {
	return SessionID{Owner: m.GetOwner(), DataCentre: m.GetDataCentre(), Number: m.GetNumber()}
}

func queryToWire(q Query) *wire.WatchLeasesRequest {
	m := &wire.WatchLeasesRequest{
		Session: sessionToWire(q.Session), Extend: q.Extend, After: q.After, WaitNanos: q.Wait.Nanoseconds(),
	}
	if q.Assignment != nil {
		m.Assignment = assignmentToWire(*q.Assignment)
	}
	for _, a := range q.Abandoned {
		m.Abandoned = append(m.Abandoned, &wire.AbandonedLease{Worker: a.Worker, Epoch: a.Epoch})
	}
	return m
}

func queryFromWire(m *wire.WatchLeasesRequest) (Query, error) {
	q := Query{
		Session: sessionFromWire(m.GetSession()), Extend: m.GetExtend(), After: m.GetAfter(), Wait: time.Duration(m.GetWaitNanos()),
	}
	if m.GetAssignment() != nil {
		a, err := assignmentFromWire(m.GetAssignment())
		if err != nil {
			return q, err
		}
		q.Assignment = &a
	}
	for _, a := range m.GetAbandoned() {
		q.Abandoned = append(q.Abandoned, AbandonedLease{Worker: a.GetWorker(), Epoch: a.GetEpoch()})
	}
	return q, nil
}

func assignmentToWire(a Assignment) *wire.LeaseAssignment {
	t := a.Times
	m := &wire.LeaseAssignment{Version: a.Version, Times: &wire.LeaseTimes{
		TtlNanos: t.TTL.Nanoseconds(), RenewNanos: t.RenewInterval.Nanoseconds(), CallNanos: t.CallTimeout.Nanoseconds(),
		RetryNanos: t.RetryDelay.Nanoseconds(), SessionNanos: t.SessionTTL.Nanoseconds(),
		SilenceNanos: t.FirstContactTimeout.Nanoseconds(), UsageNanos: t.UsageInterval.Nanoseconds(),
	}}
	for _, w := range a.Workers {
		m.Workers = append(m.Workers, &wire.WantedLease{
			Worker: w.Worker.Name, Address: w.Worker.Address.String(), Generation: w.Generation, Epoch: w.Epoch,
		})
	}
	return m
}

func assignmentFromWire(m *wire.LeaseAssignment) (Assignment, error) {
	t := m.GetTimes()
	a := Assignment{Version: m.GetVersion(), Times: Times{
		TTL: time.Duration(t.GetTtlNanos()), RenewInterval: time.Duration(t.GetRenewNanos()), CallTimeout: time.Duration(t.GetCallNanos()),
		RetryDelay: time.Duration(t.GetRetryNanos()), SessionTTL: time.Duration(t.GetSessionNanos()),
		FirstContactTimeout: time.Duration(t.GetSilenceNanos()), UsageInterval: time.Duration(t.GetUsageNanos()),
	}}
	if min(a.Times.TTL, a.Times.RenewInterval, a.Times.CallTimeout, a.Times.RetryDelay, a.Times.SessionTTL, a.Times.FirstContactTimeout, a.Times.UsageInterval) <= 0 {
		return a, errors.New("the times of leases must be positive")
	}
	for _, w := range m.GetWorkers() {
		address, err := netip.ParseAddrPort(w.GetAddress())
		if err != nil {
			return a, fmt.Errorf("address of worker %s: %w", w.GetWorker(), err)
		}
		a.Workers = append(a.Workers, WorkerAssignment{
			Worker: worker.Worker{Name: w.GetWorker(), Address: address}, Generation: w.GetGeneration(), Epoch: w.GetEpoch(),
		})
	}
	return a, nil
}

func changesToWire(c Changes) *wire.WatchLeasesReply {
	m := &wire.WatchLeasesReply{Next: c.Next, RenewedNanos: c.Renewed.Nanoseconds(), Silent: c.Silent}
	for _, w := range c.Workers {
		change := &wire.LeaseChange{
			Worker: w.Worker, Generation: w.Generation, State: int32(w.State), Epoch: w.Epoch,
			RenewedNanos: w.Renewed.Nanoseconds(), Incarnation: w.Incarnation, CompleteForNanos: w.CompleteFor.Nanoseconds(),
		}
		for _, t := range w.Tasks {
			change.Tasks = append(change.Tasks, taskToWire(t))
		}
		m.Workers = append(m.Workers, change)
	}
	for _, u := range c.Usage {
		m.Usage = append(m.Usage, &wire.TaskUsage{
			Task: u.Task, Cores: u.Used.Cores, Memory: u.Used.Memory, Accelerators: int32(u.Used.Accelerators), AgeNanos: u.Age.Nanoseconds(),
		})
	}
	return m
}

func changesFromWire(m *wire.WatchLeasesReply) Changes {
	c := Changes{Next: m.GetNext(), Renewed: time.Duration(m.GetRenewedNanos()), Silent: m.GetSilent()}
	for _, w := range m.GetWorkers() {
		change := WorkerChange{
			Worker: w.GetWorker(), Generation: w.GetGeneration(), State: State(w.GetState()), Epoch: w.GetEpoch(),
			Renewed: time.Duration(w.GetRenewedNanos()), Incarnation: w.GetIncarnation(),
			CompleteFor: time.Duration(w.GetCompleteForNanos()),
		}
		for _, t := range w.GetTasks() {
			change.Tasks = append(change.Tasks, taskFromWire(t))
		}
		c.Workers = append(c.Workers, change)
	}
	for _, u := range m.GetUsage() {
		used := worker.Resources{Cores: u.GetCores(), Memory: u.GetMemory(), Accelerators: int(u.GetAccelerators())}
		c.Usage = append(c.Usage, worker.Usage{Task: u.GetTask(), Used: used, Age: time.Duration(u.GetAgeNanos())})
	}
	return c
}

func taskToWire(t worker.Task) *wire.WorkerTask {
	return &wire.WorkerTask{
		Name: t.Name, State: int32(t.State), Released: t.Released,
		Cores: t.Resources.Cores, Memory: t.Resources.Memory, Accelerators: int32(t.Resources.Accelerators),
		RanNanos: t.Ran.Nanoseconds(), Checkpointed: t.Checkpointed, ProgressNanos: t.Progress.Nanoseconds(), Reason: t.Reason,
	}
}

func taskFromWire(m *wire.WorkerTask) worker.Task {
	return worker.Task{
		Name: m.GetName(), State: worker.TaskState(m.GetState()), Released: m.GetReleased(),
		Resources: worker.Resources{Cores: m.GetCores(), Memory: m.GetMemory(), Accelerators: int(m.GetAccelerators())},
		Ran:       time.Duration(m.GetRanNanos()), Checkpointed: m.GetCheckpointed(),
		Progress: time.Duration(m.GetProgressNanos()), Reason: m.GetReason(),
	}
}

func callToWire(c Call) *wire.TaskCallRequest {
	m := &wire.TaskCallRequest{
		Session: sessionToWire(c.Session), Worker: c.Worker, Epoch: c.Epoch, Kind: int32(c.Kind),
		Task: c.Task, Cores: c.Cores, LimitNanos: c.CheckpointTimeout.Nanoseconds(),
	}
	if c.Kind == Start {
		m.Spec = &wire.TaskSpec{
			Cores: c.Spec.Resources.Cores, Memory: c.Spec.Resources.Memory, Accelerators: int32(c.Spec.Resources.Accelerators),
			RunTimeNanos: c.Spec.RunTime.Nanoseconds(), ProgressNanos: c.Spec.Progress.Nanoseconds(),
			Held: c.Spec.Held, StartDeadlineNanos: c.Spec.StartDeadline.Nanoseconds(),
		}
	}
	return m
}

func callFromWire(m *wire.TaskCallRequest) Call {
	s := m.GetSpec()
	return Call{
		Session: sessionFromWire(m.GetSession()), Worker: m.GetWorker(), Epoch: m.GetEpoch(), Kind: CallKind(m.GetKind()),
		Task: m.GetTask(), Cores: m.GetCores(), CheckpointTimeout: time.Duration(m.GetLimitNanos()),
		Spec: worker.Spec{
			Name:          m.GetTask(),
			Resources:     worker.Resources{Cores: s.GetCores(), Memory: s.GetMemory(), Accelerators: int(s.GetAccelerators())},
			RunTime:       time.Duration(s.GetRunTimeNanos()),
			Progress:      time.Duration(s.GetProgressNanos()),
			Held:          s.GetHeld(),
			StartDeadline: time.Duration(s.GetStartDeadlineNanos()),
		},
	}
}

// callReply encodes the outcome of a call. An error that is not in callErrors is
// sent as worker.ErrOutcomeUnknown, because the call may have been carried out.
func callReply(t worker.Task, err error) *wire.TaskCallReply {
	if err == nil {
		return &wire.TaskCallReply{Task: taskToWire(t)}
	}
	failure := len(callErrors) - 1
	for i, known := range callErrors {
		if known != nil && errors.Is(err, known) {
			failure = i
		}
	}
	return &wire.TaskCallReply{Failure: int32(failure), Reason: err.Error()}
}

// replyError decodes the failure of a call. A number that is not in callErrors
// becomes worker.ErrOutcomeUnknown.
func replyError(m *wire.TaskCallReply) error {
	switch n := int(m.GetFailure()); {
	case n == 0:
		return nil
	case n > 0 && n < len(callErrors):
		return fmt.Errorf("%w: %s", callErrors[n], m.GetReason())
	default:
		return fmt.Errorf("%w: %s", worker.ErrOutcomeUnknown, m.GetReason())
	}
}
