package tomlfile_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/run/tomlfile"
)

type rack struct {
	Name  string  `toml:"name"`
	Slots []int   `toml:"slots"`
	Host  []hosts `toml:"host"`
}

type hosts struct {
	Address netip.AddrPort `toml:"address"`
	Cores   float64        `toml:"cores"`
}

type file struct {
	Name  string        `toml:"name"`
	Wait  time.Duration `toml:"wait"`
	On    bool          `toml:"on"`
	Small int8          `toml:"small"`
	Racks []rack        `toml:"rack"`
}

// Guards against findings that lack a place, name the wrong line or hide the
// findings after the first.
func TestEveryMistakeIsReportedWithItsPlace(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"syntax":       {"name = \"a\"\nwait = \n", `f:2: .*`},
		"duplicate":    {"name = \"a\"\nname = \"b\"\n", `f:2: .*`},
		"unknown key":  {"\n[extra]\na = 1\n", `f:2: extra: unknown key`},
		"out of range": {"small = 300\n", `f:1: small: 300 is out of range`},
		"many": {
			"name = 4\nwait = \"soon\"\n[[rack]]\nslots = [1,\n \"x\"]\n[[rack]]\n  [[rack.host]]\n  address = \"here\"\n",
			"f:1: name: want a string, got 4\n" +
				"f:2: wait: want a duration such as \"500ms\", got \"soon\"\n" +
				"f:5: rack\\[0\\].slots\\[1\\]: want a whole number, got the string \"x\"\n" +
				"f:8: rack\\[1\\].host\\[0\\].address: .*",
		},
		"inline": {
			"rack = [{name = \"a\"},\n {name = true, host = [{cores = \"x\"}]}]\n",
			"f:2: rack\\[1\\].host\\[0\\].cores: want a number, got .*\nf:2: rack\\[1\\].name: want a string, got true",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var target file
			d := tomlfile.Decode("f", []byte(tt.text), &target)
			qt.Assert(t, d.Findings().Err(), qt.ErrorMatches, tt.want)
		})
	}
}

// Guards against a second finding on a value that could not be decoded.
func TestReportAddsNothingBelowAnUndecodedKey(t *testing.T) {
	c := qt.New(t)
	var target file
	d := tomlfile.Decode("f", []byte("rack = 3\n"), &target)
	c.Assert(d.Findings().Len(), qt.Equals, 1)
	d.Reportf("rack[0].name", "missing")
	c.Assert(d.Findings().Len(), qt.Equals, 1)
	d.Reportf("name", "missing")
	c.Assert(d.Findings().Len(), qt.Equals, 2)
}

// Guards against absent keys that overwrite defaults, and lost values.
func TestDecodeKeepsDefaultsOfAbsentKeys(t *testing.T) {
	c := qt.New(t)
	target := file{Name: "default", On: true}
	d := tomlfile.Decode("f", []byte("wait = \"2s\"\n[[rack]]\n[[rack.host]]\naddress = \"127.0.0.1:80\"\ncores = 2\n"), &target)
	c.Assert(d.Findings().Err(), qt.IsNil)
	c.Assert(target.Name, qt.Equals, "default")
	c.Assert(target.On, qt.IsTrue)
	c.Assert(target.Wait, qt.Equals, 2*time.Second)
	c.Assert(target.Racks[0].Host[0].Address, qt.Equals, netip.MustParseAddrPort("127.0.0.1:80"))
	c.Assert(d.Has("rack[0].host[0].cores"), qt.IsTrue)
	c.Assert(keys(target), qt.DeepEquals, []string{
		"name (string)", "on (true or false)", "rack[].host[].address (IP address and port)",
		"rack[].host[].cores (number)", "rack[].name (string)", "rack[].slots (array of whole number)", "small (whole number)", "wait (duration)",
	})
}

func keys(target any) []string {
	var names []string
	for _, k := range tomlfile.Keys(target) {
		names = append(names, k.Name+" ("+k.Type+")")
	}
	return names
}
