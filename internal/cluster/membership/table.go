package membership

import (
	"cmp"
	"slices"
	"time"

	"wasabihoist/internal/cluster/rendezvous"
)

// record is what one process knows about another member.
type record struct {
	member    Member
	hash      uint64    // hash of the name for rendezvous.
	sequence  uint64    // sequence is the table's sequence at the last change.
	changed   time.Time // changed is the local time of the last change.
	deadline  time.Time // deadline is the end of the suspicion; zero when not suspect.
	recheck   bool      // recheck makes this process probe the suspect again.
	failed    bool      // failed is set when the last exchange failed, so the next one takes a fresh connection.
	transmits int       // transmits counts the messages that carried the last change.
	queued    bool      // queued is set while the change waits to be spread.
}

// table holds the records of all other members in name order. It is not safe
// for concurrent use.
type table struct {
	byName   map[string]*record
	byCentre map[string][]*record // byCentre lists are in name order.
	order    []*record
	sequence uint64
}

func newTable() *table {
	return &table{byName: map[string]*record{}, byCentre: map[string][]*record{}}
}

func compareName(r *record, name string) int { return cmp.Compare(r.member.Name, name) }

func insert(list []*record, r *record) []*record {
	i, _ := slices.BinarySearchFunc(list, r.member.Name, compareName)
	return slices.Insert(list, i, r)
}

func without(list []*record, name string) []*record {
	i, found := slices.BinarySearchFunc(list, name, compareName)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}

func (t *table) add(m Member) *record {
	r := &record{member: m, hash: rendezvous.Hash(m.Name)}
	t.byName[m.Name] = r
	t.order = insert(t.order, r)
	t.byCentre[m.DataCentre] = insert(t.byCentre[m.DataCentre], r)
	return r
}

func (t *table) remove(r *record) {
	name := r.member.Name
	delete(t.byName, name)
	t.order = without(t.order, name)
	t.detach(r)
}

func (t *table) detach(r *record) {
	centre := r.member.DataCentre
	t.byCentre[centre] = without(t.byCentre[centre], r.member.Name)
	if len(t.byCentre[centre]) == 0 {
		delete(t.byCentre, centre)
	}
}

// replace stores a newer version of a member. A member that comes back in
// another data centre moves to its list.
func (t *table) replace(r *record, m Member) {
	if r.member.DataCentre != m.DataCentre {
		t.detach(r)
		t.byCentre[m.DataCentre] = insert(t.byCentre[m.DataCentre], r)
	}
	r.member = m
}

// touch marks a change of a record at the local time now.
func (t *table) touch(r *record, now time.Time) {
	t.sequence++
	r.sequence = t.sequence
	r.changed = now
}

// after returns up to limit records in name order that follow a name, and
// whether more follow. An empty data centre means all.
func (t *table) after(name, centre string, limit int) ([]*record, bool) {
	list := t.order
	if centre != "" {
		list = t.byCentre[centre]
	}
	i, found := slices.BinarySearchFunc(list, name, compareName)
	if found {
		i++
	}
	end := min(i+limit, len(list))
	return list[i:end], end < len(list)
}
