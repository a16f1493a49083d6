package tomlfile_test

import (
	"testing"

	"wasabihoist/internal/run/tomlfile"
)

// Guards against input that makes the decoder panic, or whose findings have
// no line.
func FuzzDecode(f *testing.F) {
	for _, text := range []string{
		"", "\r\n#c\n", "[a]\n[a]\n", "name=1\n[name]\n", "a.b=1\na.b.c=2\n", "[[rack]]\n[rack]\n", "rack=[]\n[[rack]]\n",
		"rack=[{name=\"a\",name=\"b\"}]\n", "x=[[1,2],[{y=1}]]\n", "\"a.b\"=1\n'' = 2\n", "name=1979-05-27\n", "wait=99999999999999999999\n",
		"[[rack]]\n[[rack.host]]\n[rack.host.address]\n", "name=\"\xff\"\n", "name = '''\n", "rack = [\n# c\n{name = 1},\n]\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var target file
		d := tomlfile.Decode("f", data, &target)
		tomlfile.TopLevel(data)
		for _, finding := range d.Findings().All() {
			if finding.Line == 0 {
				t.Errorf("no line: %s", finding)
			}
		}
	})
}
