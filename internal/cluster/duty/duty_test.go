package duty_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
)

var centres = []string{"mobile-back", "biloxi-annex", "durham-loft"}

var regions = map[string]string{"mobile-back": "gulf", "biloxi-annex": "gulf", "durham-loft": "piedmont"}

func members(t *rapid.T) []membership.Member {
	list := make([]membership.Member, rapid.IntRange(0, 40).Draw(t, "count"))
	for i := range list {
		centre := rapid.SampledFrom(centres).Draw(t, "centre")
		list[i] = membership.Member{
			Name:       fmt.Sprintf("member-%d", i),
			Role:       rapid.SampledFrom([]membership.Role{membership.Agent, membership.Agent, membership.Entry}).Draw(t, "role"),
			DataCentre: centre,
			Region:     regions[centre],
			State:      rapid.SampledFrom([]membership.State{0, 0, 0, membership.Draining, membership.Suspect, membership.Dead}).Draw(t, "state"),
		}
	}
	return list
}

// Guards against duties that move although their holder stays.
func TestRemovalMovesOnlyTheDutiesOfTheRemoved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(t)
		if len(all) == 0 {
			return
		}
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "removed")
		rest := slices.Delete(slices.Clone(all), removed, removed+1)
		for i := range 20 {
			name, centre := fmt.Sprintf("duty-%d", i), centres[i%len(centres)]
			before, had := duty.Holder(name, centre, regions[centre], all)
			after, has := duty.Holder(name, centre, regions[centre], rest)
			if had && before.Name != all[removed].Name && (!has || after != before) {
				t.Fatalf("%s moved from %s to %s", name, before.Name, after.Name)
			}
		}
	})
}

// Guards against processes that disagree because their lists are in another
// order, and against holders that are not live agents of the nearest tier.
func TestHolderIsLiveNearestAndIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(t)
		centre := rapid.SampledFrom(centres).Draw(t, "duty centre")
		holder, found := duty.Holder("scheduler", centre, regions[centre], all)
		shuffled := rapid.Permutation(all).Draw(t, "order")
		again, _ := duty.Holder("scheduler", centre, regions[centre], shuffled)
		if again != holder {
			t.Fatalf("holder depends on the order: %v and %v", holder, again)
		}
		live := slices.DeleteFunc(slices.Clone(all), func(m membership.Member) bool {
			return m.Role != membership.Agent || m.State != membership.Alive
		})
		if found != (len(live) > 0) {
			t.Fatalf("found is %v with %d live agents", found, len(live))
		}
		for _, m := range live {
			closer := m.DataCentre == centre && holder.DataCentre != centre
			closer = closer || m.Region == regions[centre] && holder.Region != regions[centre]
			if closer {
				t.Fatalf("%v is preferred to the closer %v", holder, m)
			}
		}
	})
}

// Guards against a weight that gives some members many more duties.
func TestDutiesAreSpreadEvenly(t *testing.T) {
	var all []membership.Member
	for i := range 10 {
		all = append(all, membership.Member{Name: fmt.Sprintf("agent-%d", i), Role: membership.Agent, DataCentre: "caico"})
	}
	counts := map[string]int{}
	for i := range 10_000 {
		holder, _ := duty.Holder(fmt.Sprintf("duty-%d", i), "caico", "serido", all)
		counts[holder.Name]++
	}
	for name, count := range counts {
		qt.Check(t, count > 850 && count < 1150, qt.IsTrue, qt.Commentf("%s holds %d of 10000", name, count))
	}
}
