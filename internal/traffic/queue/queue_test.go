package queue_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"wasabihoist/internal/traffic/queue"
)

var epoch = time.Unix(1_000_000, 0)

type entry struct {
	value        int
	organisation string
	deadline     time.Time
}

// naiveQueue is a reference implementation with one list and linear searches.
type naiveQueue struct {
	entries    []entry
	shares     map[string]int
	passes     map[string]uint64
	globalPass uint64
}

func (n *naiveQueue) waiting(organisation string) int {
	count := 0
	for _, e := range n.entries {
		if e.organisation == organisation {
			count++
		}
	}
	return count
}

func (n *naiveQueue) push(e entry, limit, share int) bool {
	waiting := n.waiting(e.organisation)
	if limit > 0 && waiting >= limit {
		return false
	}
	if waiting == 0 {
		n.passes[e.organisation] = max(n.passes[e.organisation], n.globalPass)
	}
	n.shares[e.organisation] = share
	n.entries = append(n.entries, e)
	return true
}

func (n *naiveQueue) pop() (int, bool) {
	if len(n.entries) == 0 {
		return 0, false
	}
	e := slices.MinFunc(n.entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(n.passes[a.organisation], n.passes[b.organisation]), cmp.Compare(a.organisation, b.organisation))
	})
	n.globalPass = n.passes[e.organisation]
	n.passes[e.organisation] += uint64((1 << 20) / n.shares[e.organisation])
	n.remove(e.value)
	return e.value, true
}

func (n *naiveQueue) remove(value int) bool {
	before := len(n.entries)
	n.entries = slices.DeleteFunc(n.entries, func(e entry) bool { return e.value == value })
	return len(n.entries) < before
}

func (n *naiveQueue) expire(now time.Time) []int {
	var expired []int
	for _, e := range n.entries {
		if !e.deadline.After(now) {
			expired = append(expired, e.value)
		}
	}
	for _, v := range expired {
		n.remove(v)
	}
	return expired
}

// Guards against any difference from the reference implementation in order,
// limits, expiry and removal.
func TestMatchesNaiveQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New[int]()
		n := &naiveQueue{shares: map[string]int{}, passes: map[string]uint64{}}
		var items []*queue.Item[int]
		organisations := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				e := entry{len(items), organisations.Draw(t, "organisation"), epoch.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "deadline")))}
				limit, share := rapid.IntRange(0, 5).Draw(t, "limit"), rapid.IntRange(1, 7).Draw(t, "share")
				i, err := q.Push(e.organisation, queue.Policy{Limit: limit, Share: share}, e.deadline, e.value)
				if n.push(e, limit, share) != (err == nil) {
					t.Fatalf("push: %v", err)
				}
				if err == nil {
					items = append(items, i)
				}
			},
			"pop": func(t *rapid.T) {
				got, ok := q.Pop()
				want, wantOK := n.pop()
				if got != want || ok != wantOK {
					t.Fatalf("pop: got %d %v, want %d %v", got, ok, want, wantOK)
				}
			},
			"cancel several": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "size") {
					if len(items) == 0 {
						return
					}
					i := items[rapid.IntRange(0, len(items)-1).Draw(t, "item")]
					if q.Remove(i) != n.remove(i.Value) {
						t.Fatal("remove differs")
					}
				}
			},
			"expire": func(t *rapid.T) {
				now := epoch.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "now")))
				got, want := q.Expire(now), n.expire(now)
				slices.Sort(got)
				slices.Sort(want)
				if !slices.Equal(got, want) {
					t.Fatalf("expire: got %v, want %v", got, want)
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(n.entries) {
					t.Fatalf("length: got %d, want %d", q.Len(), len(n.entries))
				}
			},
		})
	})
}

// Guards against an organisation that gets more or less than its share while all
// organisations have waiting values.
func TestPopsFollowShares(t *testing.T) {
	c := qt.New(t)
	q := queue.New[string]()
	shares := map[string]int{"small": 1, "middle": 2, "large": 5}
	for name, share := range shares {
		for range 800 {
			_, err := q.Push(name, queue.Policy{Share: share}, epoch, name)
			c.Assert(err, qt.IsNil)
		}
	}
	got := map[string]int{}
	for range 800 {
		name, _ := q.Pop()
		got[name]++
	}
	for name, share := range shares {
		c.Assert(got[name] >= share*100-1 && got[name] <= share*100+1, qt.IsTrue, qt.Commentf("%v", got))
	}
}

// Measures the time of a Push followed by a Remove or Pop at different queue
// lengths, with 240 organisations and deadlines in mixed order.
func BenchmarkPushRemovePop(b *testing.B) {
	for _, length := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(length), func(b *testing.B) {
			q := queue.New[int]()
			for i := range length {
				_, _ = q.Push(fmt.Sprint(i%240), queue.Policy{Share: 1 + i%3}, epoch.Add(time.Duration(i*7919%length)), i)
			}
			for i := 0; b.Loop(); i++ {
				item, _ := q.Push(fmt.Sprint(i%240), queue.Policy{Share: 1 + i%3}, epoch.Add(time.Duration(i*7919%length)), i)
				if i%2 == 0 {
					q.Remove(item)
					continue
				}
				q.Pop()
			}
		})
	}
}
