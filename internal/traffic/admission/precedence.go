package admission

import (
	"net/netip"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	connected phase = iota // connected has sent nothing yet.
	heading                // heading sends a header.
	receiving              // receiving sends a body.
	serving                // serving waits for its answer.
	answering              // answering is sent its answer.
	closing                // closing sends the rest of a body that nobody reads.
	idle                   // idle has its answer.
)

// settleTime is how long a client may take for a request before it gives way to
// others. A client that is served in calm takes a round trip.
const settleTime = time.Second

// occupant is a connection of a door.
type occupant struct {
	phase phase
	since time.Time // since is when the phase began.
	peer  netip.Addr
}

// rank returns how early an occupant gives way, 0 first; false if it doesn't.
func (o occupant) rank(now time.Time) (int, bool) {
	settled := now.Sub(o.since) >= settleTime
	switch {
	case o.phase == serving:
		return 0, false
	case o.phase == closing, settled && o.phase != idle:
		return 0, true
	case o.phase == idle:
		return 1, true
	case o.phase == answering:
		return 0, false
	default:
		return 2, true
	}
}

// displaced returns the index of the occupant that gives way to a new connection, -1
// if there is none. It answers crowds that hold connections open without a complete
// request or without reading their answers: these go first, then connections between
// two requests, then the oldest of those that have just begun. Calls that are being
// served stay. Among equals, the peer with the most connections gives way, and the
// occupant that has been in its phase for longest. Addresses say little behind a
// balancer, where many clients share one, so they only order what gives way.
func displaced(occupants []occupant, now time.Time) int {
	held := make(map[netip.Addr]int)
	for _, o := range occupants {
		held[o.peer]++
	}
	best, bestRank := -1, 0
	for i, o := range occupants {
		rank, ok := o.rank(now)
		if !ok {
			continue
		}
		if best >= 0 {
			b := occupants[best]
			switch {
			case rank != bestRank:
				ok = rank < bestRank
			case held[o.peer] != held[b.peer]:
				ok = held[o.peer] > held[b.peer]
			default:
				ok = o.since.Before(b.since)
			}
		}
		if ok {
			best, bestRank = i, rank
		}
	}
	return best
}

// interrupted returns the index of the occupant whose body gives way to another one,
// -1 if there is none. It answers crowds of large bodies that stop short of their
// end: the oldest of them is refused, once its client has had settleTime.
func interrupted(occupants []occupant, now time.Time) int {
	best := -1
	for i, o := range occupants {
		if o.phase == receiving && now.Sub(o.since) >= settleTime && (best < 0 || o.since.Before(occupants[best].since)) {
			best = i
		}
	}
	return best
}

// timeLeft returns how much longer the phase of an occupant may take; false if it has
// no bound. Serving is bounded by the deadline of the call.
func (o occupant) timeLeft(l Limits, now time.Time) (time.Duration, bool) {
	left := -now.Sub(o.since)
	switch o.phase {
	case connected, heading:
		return left + l.HeaderTimeout, true
	case receiving:
		return left + BodyTimeout, true
	case answering, closing:
		return left + AnswerTimeout, true
	case idle:
		return left + l.IdleTimeout, true
	default:
		return 0, false
	}
}
