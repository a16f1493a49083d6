package membership

import (
	"net/netip"
	"time"
)

// Options are the settings of Membership. Start from Default.
type Options struct {
	Seeds             []netip.AddrPort // Seeds are asked for the member list on start and now and then later.
	ProbeInterval     time.Duration    // ProbeInterval lies between two probes by one process.
	DirectTimeout     time.Duration    // DirectTimeout bounds one exchange within a data centre.
	IndirectTimeout   time.Duration    // IndirectTimeout bounds an indirect probe through other members.
	IndirectProbes    int              // IndirectProbes is the number of members asked after a failed direct probe; 0 turns it off.
	SuspicionTime     time.Duration    // SuspicionTime lies between suspect and dead.
	GossipInterval    time.Duration    // GossipInterval lies between extra messages while changes wait to be spread; 0 turns them off.
	ChangesPerMessage int              // ChangesPerMessage bounds the piggybacked changes.
	RetransmitFactor  int              // RetransmitFactor is multiplied by log10 of the group size.
	PageSize          int              // PageSize bounds the members in one page of the list.
	RepairInterval    time.Duration    // RepairInterval lies between two repair exchanges; 0 turns them off.
	ExchangeInterval  time.Duration    // ExchangeInterval lies between checks for changes that another data centre needs.
	ExchangeIdle      time.Duration    // ExchangeIdle lies between exchanges with a data centre when nothing changes.
	ExchangeChanges   int              // ExchangeChanges bounds the changes in one exchange between data centres.
	ExchangeTimeout   time.Duration    // ExchangeTimeout bounds an exchange between data centres and with seeds.
	UnreachableAfter  time.Duration    // UnreachableAfter is the time of failed exchanges after which a data centre counts as unreachable.
	DeadRetention     time.Duration    // DeadRetention is the time that dead members stay in the list.
	RandomSeed        uint64           // RandomSeed makes the choices repeatable; 0 takes a random one.
}

// Default returns the settings for production.
func Default() Options {
	return Options{
		ProbeInterval: time.Second,
		// One-way latency within a data centre is at most 1.5 ms. Direct and
		// indirect probe together must end before the next probe.
		DirectTimeout:   300 * time.Millisecond,
		IndirectTimeout: 600 * time.Millisecond,
		IndirectProbes:  3,
		SuspicionTime:   2 * time.Second,
		// Probes alone need about 6 s to reach 440 members, which is too slow
		// for draining (promise 6).
		GossipInterval:    250 * time.Millisecond,
		ChangesPerMessage: 8,
		// With 4, one of 210 members missed a change in two of two trials and
		// had to wait for a repair.
		RetransmitFactor: 6,
		PageSize:         32,
		RepairInterval:   5 * time.Second,
		ExchangeInterval: 500 * time.Millisecond,
		ExchangeIdle:     2 * time.Second,
		ExchangeChanges:  32,
		ExchangeTimeout:  time.Second,
		UnreachableAfter: 6 * time.Second,
		DeadRetention:    5 * time.Minute,
	}
}
