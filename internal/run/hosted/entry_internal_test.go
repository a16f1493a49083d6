package hosted

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against forwarded calls that reach an entry of another region only after all
// entries of a region that is cut off from the store.
func TestInterleave(t *testing.T) {
	for name, tt := range map[string]struct {
		near, far, want string
	}{
		"both":             {"abcdefg", "xyz", "abcxdefygz"},
		"few near":         {"ab", "xyz", "abxyz"},
		"few far":          {"abcdefg", "x", "abcxdefg"},
		"no other region":  {"abcd", "", "abcd"},
		"no other of ours": {"", "xy", "xy"},
	} {
		t.Run(name, func(t *testing.T) {
			got := interleave([]rune(tt.near), []rune(tt.far), 3)
			qt.New(t).Check(string(got), qt.Equals, tt.want)
		})
	}
}
