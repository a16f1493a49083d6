package guarantee

import (
	"cmp"
	"slices"

	"wasabihoist/internal/tenancy/organisation"
)

// MaxSearchSteps bounds each search of Evaluate. Small fleets stay far below it, so
// that their verdicts are exact.
const MaxSearchSteps = 2_000_000

// demand is one guaranteed shape to be placed. A shape within a worker is one item
// of its total size, because all its members share the worker.
type demand struct {
	items     int   // items is the number of items, each of which is placed on one worker.
	size      int   // size is the number of accelerators of each item.
	rack      bool  // rack is true when all items must be in one rack.
	placement []int // placement has the index of the worker of each item; set by a successful search.
}

// newDemand returns the demand of a shape. A single member is always within one rack,
// so its demand is not limited to one.
func newDemand(s organisation.Shape) *demand {
	switch {
	case s.Adjacency == organisation.WithinWorker:
		return &demand{items: 1, size: s.Total()}
	case s.Adjacency == organisation.WithinRack && s.Members > 1:
		return &demand{items: s.Members, size: s.Accelerators, rack: true}
	}
	return &demand{items: s.Members, size: s.Accelerators}
}

// search is a backtracking search for placements of demands. Demands within a rack
// come first and try the racks with the fewest free accelerators first. For the
// other items only the number of workers with each free amount matters, because
// they may go to any worker.
type search struct {
	free         []int    // free accelerators of each worker.
	racks        [][2]int // racks has the half-open range of indices into free for each rack.
	demands      []*demand
	items        []int  // items of demands that may go anywhere, in descending size.
	divisible    []bool // divisible is true for an item if, from it on, each size is a multiple of the next.
	histogram    []int  // histogram counts workers by free accelerators.
	stepsLeft    int    // stepsLeft is the number of steps before the search stops.
	chosenFree   []int  // chosenFree is the free amount of the worker chosen for each item, before it is placed.
	failedStates map[string]bool
}

// newSearch returns a search for the demands, which it sorts. The search modifies
// free; after success, free is the amounts that remain.
func newSearch(free []int, racks [][2]int, demands []*demand, stepLimit int) *search {
	s := &search{free: free, racks: racks, demands: slices.Clone(demands), stepsLeft: stepLimit, failedStates: map[string]bool{}}
	slices.SortStableFunc(s.demands, func(a, b *demand) int {
		if a.rack != b.rack {
			return cmp.Compare(boolToInt(b.rack), boolToInt(a.rack))
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
	s.chosenFree = make([]int, len(s.items))
	s.divisible = make([]bool, len(s.items))
	for i := len(s.items) - 1; i >= 0; i-- {
		last := i == len(s.items)-1
		s.divisible[i] = last || (s.divisible[i+1] && s.items[i]%s.items[i+1] == 0)
	}
	return s
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// run reports whether all demands can be placed, and sets their placements.
func (s *search) run() bool {
	if !s.placeRackDemands(0) {
		return false
	}
	s.assignItems()
	return true
}

// exhausted reports whether the search stopped at its step limit.
func (s *search) exhausted() bool { return s.stepsLeft <= 0 }

// reserve subtracts amount from the free accelerators of the worker with index at; a
// negative amount adds to them.
func (s *search) reserve(at, amount int) {
	s.histogram[s.free[at]]--
	s.free[at] -= amount
	s.histogram[s.free[at]]++
}

// placeRackDemands places the demands within a rack from i on, and then all other items.
func (s *search) placeRackDemands(i int) bool {
	if i == len(s.demands) || !s.demands[i].rack {
		return s.packItems(0)
	}
	d := s.demands[i]
	for _, r := range s.candidateRacks(d) {
		d.placement = d.placement[:0]
		if s.fillRack(i, r[0], r[1], d.items) {
			return true
		}
		if s.exhausted() {
			return false
		}
	}
	return false
}

// candidateRacks returns the racks that fit the demand, in ascending order of free
// accelerators. Of consecutive racks with the same free amounts in the same order
// only the first is kept, because the others lead to the same result.
func (s *search) candidateRacks(d *demand) [][2]int {
	type candidate struct {
		rack [2]int
		free int
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
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.free, b.free) })
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

// fillRack places the remaining items of demand i on the workers from at to end,
// and then the next demands. It tries the largest number of items on each worker
// first.
func (s *search) fillRack(i, at, end, remaining int) bool {
	s.stepsLeft--
	if remaining == 0 {
		return s.placeRackDemands(i + 1)
	}
	if at == end || s.exhausted() {
		return false
	}
	d := s.demands[i]
	for count := min(remaining, max(s.free[at], 0)/d.size); count >= 0; count-- {
		kept := len(d.placement)
		if count > 0 {
			s.reserve(at, count*d.size)
		}
		for range count {
			d.placement = append(d.placement, at)
		}
		if s.fillRack(i, at+1, end, remaining-count) {
			return true
		}
		d.placement = d.placement[:kept]
		if count > 0 {
			s.reserve(at, -count*d.size)
		}
	}
	return false
}

// packItems places the items from i on. It tracks only the histogram of free
// amounts. It memoises failed states unless the sizes are divisible.
func (s *search) packItems(i int) bool {
	if i == len(s.items) {
		return true
	}
	s.stepsLeft--
	if s.exhausted() {
		return false
	}
	size, divisible := s.items[i], s.divisible[i]
	var key string
	if !divisible {
		if key = s.stateKey(i); s.failedStates[key] {
			return false
		}
	}
	for f := size; f < len(s.histogram); f++ {
		if s.histogram[f] == 0 {
			continue
		}
		s.histogram[f]--
		s.histogram[f-size]++
		s.chosenFree[i] = f
		if s.packItems(i + 1) {
			return true
		}
		s.histogram[f]++
		s.histogram[f-size]--
		// When each size is a multiple of the next, the choice of the worker does
		// not change how many smaller items fit. An exact fit is never worse than
		// another choice.
		if divisible || f == size {
			return false
		}
	}
	if !divisible && !s.exhausted() {
		s.failedStates[key] = true
	}
	return false
}

// stateKey encodes the state of packItems at item i, with two bytes for each number.
func (s *search) stateKey(i int) string {
	key := make([]byte, 0, 2*len(s.histogram)+2)
	key = append(key, byte(i>>8), byte(i))
	for _, n := range s.histogram {
		key = append(key, byte(n>>8), byte(n))
	}
	return string(key)
}

// assignItems turns the chosen free amounts into placements on workers.
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
		d.placement = d.placement[:0]
		for range d.items {
			f := s.chosenFree[next]
			next++
			at := byFree[f][len(byFree[f])-1]
			byFree[f] = byFree[f][:len(byFree[f])-1]
			byFree[f-d.size] = append(byFree[f-d.size], at)
			s.free[at] -= d.size
			d.placement = append(d.placement, at)
		}
	}
}
