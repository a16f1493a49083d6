package allocation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"wasabihoist/internal/fleet/allocation"
)

// BenchmarkDecide plans for a nearly full fleet with one waiting demand per host.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []int{69, 500} {
		b.Run(fmt.Sprintf("%d hosts", size), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			var hosts []allocation.Host
			var units []allocation.Unit
			for i := range size {
				name := fmt.Sprintf("h%d", i)
				free := r.IntN(3)
				hosts = append(hosts, newHost(name, fmt.Sprintf("r%d", i/5), free, free))
				for range 8 - free {
					units = append(units, newUnit(len(units), allocation.Rank(r.IntN(4)), r.Float64(), map[string]int{name: 1}))
				}
			}
			var demands []allocation.Demand
			for i := range size {
				d := newDemand(i, allocation.Rank(i*4/size), 1+r.IntN(20), 1+r.IntN(8))
				d.Gang, d.RackLocal = i%2 == 0, i%4 == 0
				if i%3 == 0 {
					d.DataRack = fmt.Sprintf("r%d", r.IntN(size/5))
				}
				demands = append(demands, d)
			}
			for b.Loop() {
				allocation.Decide(hosts, units, demands)
			}
		})
	}
}
