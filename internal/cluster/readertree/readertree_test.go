package readertree_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/cluster/duty"
	"wasabihoist/internal/cluster/membership"
	"wasabihoist/internal/cluster/readertree"
)

const logRegion, farRegion = "serido", "cariri"

// centre returns the members of a data centre; the last two are entries.
func centre(region, name string, count int) []membership.Member {
	var list []membership.Member
	for i := range count {
		role := membership.Agent
		if i >= count-2 {
			role = membership.Entry
		}
		list = append(list, membership.Member{Name: fmt.Sprintf("%s-%d", name, i), Role: role, Region: region, DataCentre: name})
	}
	return list
}

// Guards against a tree that leaves a member without records: one with a cycle,
// with a member that serves too many, in which a member depends on one other
// member in both trees, or in which a root does not know that it reads from
// another data centre.
func TestEveryMemberIsReachedTwice(t *testing.T) {
	tests := map[string]struct {
		region string
		sizes  []int
		depth  int
		roots  int // roots read the log, or in a far region stand by for the one that does.
		guests int // guests are the roots of other data centres of a far region.
	}{
		"one data centre of the planned size": {logRegion, []int{443}, 3, 2, 0},
		"today":                               {logRegion, []int{6, 5}, 1, 4, 0},
		"far region, planned size":            {farRegion, []int{443, 443, 443}, 7, 2, 4},
		"far region of today":                 {farRegion, []int{4}, 1, 2, 0},
		"two members":                         {farRegion, []int{2}, 1, 2, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var members []membership.Member
			for i, size := range tt.sizes {
				members = append(members, centre(tt.region, fmt.Sprint("dc", i), size)...)
			}
			parents, inner := [2]map[string]string{{}, {}}, [2]map[string]int{{}, {}}
			roots, guests := 0, 0
			for _, m := range members {
				place := readertree.Of(m, members, logRegion)
				if len(place.Parents) == 0 {
					roots++
				}
				if place.Guest {
					guests++
				}
				for i, p := range place.Parents {
					parents[i][m.Name] = p.Name
					inner[i][p.Name]++
				}
			}
			c.Assert(roots, qt.Equals, tt.roots)
			c.Assert(guests, qt.Equals, tt.guests)
			for _, m := range members {
				c.Assert(inner[0][m.Name] <= readertree.Degree && inner[1][m.Name] <= readertree.Degree, qt.IsTrue)
				if len(members) > readertree.Degree*readertree.Degree {
					c.Assert(inner[0][m.Name] == 0 || inner[1][m.Name] == 0, qt.IsTrue, qt.Commentf("%s is inner in both trees", m.Name))
				}
				for i := range parents {
					depth := 0
					for at := parents[i][m.Name]; at != ""; at = parents[i][at] {
						depth++
						c.Assert(depth <= tt.depth, qt.IsTrue, qt.Commentf("%s is too deep in tree %d", m.Name, i))
					}
				}
			}
		})
	}
}

// Guards against a process that is asked for the records of its region and does
// not read the log itself.
func TestHolderOfTheReaderDutyIsTheRoot(t *testing.T) {
	c := qt.New(t)
	members := append(centre(farRegion, "a", 30), centre(farRegion, "b", 30)...)
	for range members[5:] {
		holder, ok := duty.Holder(readertree.Duty, "", farRegion, members)
		if !ok {
			break // Only entries are left.
		}
		place := readertree.Of(holder, members, logRegion)
		c.Assert(place.Parents, qt.HasLen, 0)
		c.Assert(place.Standby, qt.IsFalse)
		for i := range members {
			if members[i].Name == holder.Name {
				members[i].State = membership.Suspect
			}
		}
	}
}

// Guards against members that read from a parent that is leaving or suspect,
// against other members changing their parents because of it, and against trees
// without a root while the roots are suspect.
func TestLeavingParentIsPassedOver(t *testing.T) {
	states := map[string]membership.State{"draining": membership.Draining, "suspect": membership.Suspect}
	for name, state := range states {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			members := centre(logRegion, "a", 100)
			before := map[string][]string{}
			for _, m := range members {
				before[m.Name] = parentNames(m, members)
			}
			leaving := map[string]bool{}
			for i, m := range members {
				if len(before[m.Name]) == 0 || i < 3 {
					members[i].State, leaving[m.Name] = state, true
				}
			}
			roots := 0
			for _, m := range members {
				after := parentNames(m, members)
				if len(after) == 0 {
					roots++
				}
				if len(before[m.Name]) == 0 {
					continue
				}
				for i, p := range after {
					c.Assert(leaving[p], qt.IsFalse, qt.Commentf("%s reads from %s", m.Name, p))
					c.Assert(p == before[m.Name][i] || leaving[before[m.Name][i]], qt.IsTrue)
				}
			}
			c.Assert(roots, qt.Equals, 2)
		})
	}
}

func parentNames(m membership.Member, members []membership.Member) []string {
	var names []string
	for _, p := range readertree.Of(m, members, logRegion).Parents {
		names = append(names, p.Name)
	}
	return names
}

// Guards against a process without a place, or with the place of the root,
// while its list does not have it yet.
func TestUnlistedMemberIsALeaf(t *testing.T) {
	c := qt.New(t)
	members := centre(logRegion, "a", 20)
	place := readertree.Of(members[3], members[4:], logRegion)
	c.Assert(place.Parents, qt.HasLen, 2)
}
