package collection_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"wasabihoist/internal/base/collection"
)

type ranked struct{ rank, place int }

// Guards against a heap that loses the order or the places of its values when
// values are changed and removed in the middle.
func TestHeapMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := collection.NewHeap(
			func(a, b *ranked) bool { return a.rank < b.rank },
			func(r *ranked, place int) { r.place = place },
		)
		var list []*ranked
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				r := &ranked{rank: rapid.IntRange(0, 20).Draw(t, "rank"), place: -1}
				h.Push(r)
				list = append(list, r)
			},
			"change": func(t *rapid.T) {
				if len(list) == 0 {
					return
				}
				r := rapid.SampledFrom(list).Draw(t, "value")
				r.rank = rapid.IntRange(0, 20).Draw(t, "rank")
				h.Fix(r.place)
			},
			"remove": func(t *rapid.T) {
				if len(list) == 0 {
					return
				}
				r := rapid.SampledFrom(list).Draw(t, "value")
				if got := h.Remove(r.place); got != r || r.place != -1 {
					t.Fatalf("removed %v at place %d, want %v", got, r.place, r)
				}
				list = slices.DeleteFunc(list, func(o *ranked) bool { return o == r })
			},
			"": func(t *rapid.T) {
				if h.Len() != len(list) {
					t.Fatalf("got %d values, want %d", h.Len(), len(list))
				}
				if len(list) == 0 {
					return
				}
				least := slices.MinFunc(list, func(a, b *ranked) int { return a.rank - b.rank })
				if h.First().rank != least.rank {
					t.Fatalf("first has rank %d, want %d", h.First().rank, least.rank)
				}
			},
		})
	})
}
