package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// MaxSearchSteps bounds the search of one call of Evaluate. Small fleets stay
// far below it, so that their verdicts are exact.
const MaxSearchSteps = 2_000_000

// demand is one guaranteed shape that needs a place. A shape within a worker is
// one item of its total size, because all its members share the worker.
type demand struct {
	items int  // items is the number of pieces that go to workers.
	size  int  // size is the number of accelerators of each item.
	rack  bool // rack demands put all items in one rack.
	place []int
}

func newDemand(s organisation.Shape) *demand {
	switch {
	case s.Adjacency == organisation.WithinWorker:
		return &demand{items: 1, size: s.Total()}
	case s.Adjacency == organisation.WithinRack && s.Members > 1:
		return &demand{items: s.Members, size: s.Accelerators, rack: true}
	}
	return &demand{items: s.Members, size: s.Accelerators}
}

// search finds places for demands. Racks are placed first, each with the
// tightest rack that fits; after that only the number of workers with each free
// amount matters, and not where they are.
type search struct {
	free      []int    // free accelerators of each worker.
	racks     [][2]int // racks are ranges of indices into free.
	demands   []*demand
	items     []int  // items of demands that may go anywhere, in descending size.
	chain     []bool // chain is true where the sizes from this item on divide each other.
	histogram []int  // histogram counts workers by free accelerators.
	steps     int    // steps that remain before the search gives up.
	chosen    []int  // chosen is the free amount of the worker that each item takes.
	failed    map[string]bool
}

// newSearch sorts the demands. It modifies free while it runs; on success free
// is what remains.
func newSearch(free []int, racks [][2]int, demands []*demand, steps int) *search {
	s := &search{free: free, racks: racks, demands: slices.Clone(demands), steps: steps, failed: map[string]bool{}}
	slices.SortStableFunc(s.demands, func(a, b *demand) int {
		if a.rack != b.rack {
			return cmp.Compare(boolean(b.rack), boolean(a.rack))
		}
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(b.items, a.items))
	})
	s.histogram = make([]int, slices.Max(append([]int{0}, free...))+1)
	for _, f := range free {
		s.histogram[max(f, 0)]++
	}
	for _, d := range s.demands {
		if d.rack {
			continue
		}
		for range d.items {
			s.items = append(s.items, d.size)
		}
	}
	s.chosen = make([]int, len(s.items))
	s.chain = make([]bool, len(s.items))
	for i := len(s.items) - 1; i >= 0; i-- {
		last := i == len(s.items)-1
		s.chain[i] = last || (s.chain[i+1] && s.items[i]%s.items[i+1] == 0)
	}
	return s
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

// run reports whether all demands have a place and fills in their places.
func (s *search) run() bool {
	if !s.placeRacks(0) {
		return false
	}
	s.assignItems()
	return true
}

// exhausted reports whether the search gave up before it had tried everything.
func (s *search) exhausted() bool { return s.steps <= 0 }

// take moves amount from a worker; a negative amount gives it back.
func (s *search) take(at, amount int) {
	s.histogram[s.free[at]]--
	s.free[at] -= amount
	s.histogram[s.free[at]]++
}

// placeRacks places the rack demands from i on, and then all other items.
func (s *search) placeRacks(i int) bool {
	if i == len(s.demands) || !s.demands[i].rack {
		return s.packItems(0)
	}
	d := s.demands[i]
	for _, r := range s.candidateRacks(d) {
		d.place = d.place[:0]
		if s.fillRack(i, r[0], r[1], d.items) {
			return true
		}
		if s.exhausted() {
			return false
		}
	}
	return false
}

// candidateRacks returns the racks that fit the demand, tightest first. Of racks
// with the same free amounts in the same order only the first is kept.
func (s *search) candidateRacks(d *demand) [][2]int {
	type candidate struct {
		rack  [2]int
		slack int
	}
	var candidates []candidate
	for _, r := range s.racks {
		slots, total := 0, 0
		for _, f := range s.free[r[0]:r[1]] {
			slots += max(f, 0) / d.size
			total += max(f, 0)
		}
		if slots >= d.items {
			candidates = append(candidates, candidate{r, total})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.slack, b.slack) })
	var racks [][2]int
	for _, c := range candidates {
		same := func(o [2]int) bool {
			return slices.Equal(s.free[o[0]:o[1]], s.free[c.rack[0]:c.rack[1]])
		}
		if len(racks) == 0 || !same(racks[len(racks)-1]) {
			racks = append(racks, c.rack)
		}
	}
	return racks
}

// fillRack puts the remaining items of demand i on the workers from at to end,
// as many as possible on each first, and goes on with the next demand.
func (s *search) fillRack(i, at, end, remaining int) bool {
	s.steps--
	if remaining == 0 {
		return s.placeRacks(i + 1)
	}
	if at == end || s.exhausted() {
		return false
	}
	d := s.demands[i]
	for count := min(remaining, max(s.free[at], 0)/d.size); count >= 0; count-- {
		kept := len(d.place)
		if count > 0 {
			s.take(at, count*d.size)
		}
		for range count {
			d.place = append(d.place, at)
		}
		if s.fillRack(i, at+1, end, remaining-count) {
			return true
		}
		d.place = d.place[:kept]
		if count > 0 {
			s.take(at, -count*d.size)
		}
	}
	return false
}

// packItems places the items from i on, by free amounts only.
func (s *search) packItems(i int) bool {
	if i == len(s.items) {
		return true
	}
	s.steps--
	if s.exhausted() {
		return false
	}
	size, chain := s.items[i], s.chain[i]
	var key string
	if !chain {
		if key = s.key(i); s.failed[key] {
			return false
		}
	}
	for f := size; f < len(s.histogram); f++ {
		if s.histogram[f] == 0 {
			continue
		}
		s.histogram[f]--
		s.histogram[f-size]++
		s.chosen[i] = f
		if s.packItems(i + 1) {
			return true
		}
		s.histogram[f]++
		s.histogram[f-size]--
		// With sizes that divide each other the choice of the worker does not
		// change how many smaller items fit, and an exact fit is never worse
		// than another choice.
		if chain || f == size {
			return false
		}
	}
	if !chain && !s.exhausted() {
		s.failed[key] = true
	}
	return false
}

// key identifies the state of packItems at item i.
func (s *search) key(i int) string {
	key := make([]byte, 0, 2*len(s.histogram)+2)
	key = append(key, byte(i>>8), byte(i))
	for _, n := range s.histogram {
		key = append(key, byte(n>>8), byte(n))
	}
	return string(key)
}

// assignItems turns the chosen free amounts into workers.
func (s *search) assignItems() {
	byFree := make([][]int, len(s.histogram))
	for at := len(s.free) - 1; at >= 0; at-- {
		f := max(s.free[at], 0)
		byFree[f] = append(byFree[f], at)
	}
	next := 0
	for _, d := range s.demands {
		if d.rack {
			continue
		}
		d.place = d.place[:0]
		for range d.items {
			f := s.chosen[next]
			next++
			at := byFree[f][len(byFree[f])-1]
			byFree[f] = byFree[f][:len(byFree[f])-1]
			byFree[f-d.size] = append(byFree[f-d.size], at)
			s.free[at] -= d.size
			d.place = append(d.place, at)
		}
	}
}
