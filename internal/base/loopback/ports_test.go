package loopback_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/loopback"
)

// Guards against programs that give the same ports to their processes.
func TestProgramsShareNoPorts(t *testing.T) {
	const each = 7
	c := qt.New(t)
	var one, other loopback.Ports
	defer one.Release()
	defer other.Release()
	taken := make(map[uint16]bool)
	for range 40 {
		for _, p := range []*loopback.Ports{&one, &other} {
			first, err := p.Take(each)
			c.Assert(err, qt.IsNil)
			for i := range uint16(each) {
				c.Assert(taken[first+i], qt.IsFalse)
				taken[first+i] = true
			}
		}
	}
}

func TestMorePortsThanABlockHas(t *testing.T) {
	c := qt.New(t)
	var p loopback.Ports
	defer p.Release()
	_, err := p.Take(120)
	c.Check(err, qt.ErrorMatches, "no 120 free ports in a row")
}
