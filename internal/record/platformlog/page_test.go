package platformlog

import (
	"bytes"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a reader that asks for the same page for ever because it
// cannot take all of it, and against records that a cut page skips.
func TestCutPageCountsAsFarAsItWasRead(t *testing.T) {
	const page = `{"entries":[{"offset":4,"payload":"YQ=="},{"offset":7,"payload":"Yg=="}],"next":9,"earliest":2}`
	whole := Page{Entries: []Entry{{4, []byte("a")}, {7, []byte("b")}}, Next: 9, Earliest: 2}
	tests := map[string]struct {
		read int
		want Page
		err  string
	}{
		"whole":             {len(page), whole, ""},
		"before the end":    {len(page) - 1, Page{Entries: whole.Entries, Next: 8, Earliest: 2}, ""},
		"in the second":     {60, Page{Entries: whole.Entries[:1], Next: 5}, ""},
		"in the first":      {20, Page{}, "decode log page: .*"},
		"before the fields": {0, Page{}, "decode log page: EOF"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, err := decodePage(io.LimitReader(bytes.NewBufferString(page), int64(tt.read)))
			if tt.err != "" {
				c.Assert(err, qt.ErrorMatches, tt.err)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(got, qt.DeepEquals, tt.want)
		})
	}
}

// Guards against log pages that stop the reader or make it skip entries.
func FuzzPage(f *testing.F) {
	f.Add([]byte(`{"entries":[{"offset":4,"payload":"YQ=="}],"next":5,"earliest":2}`))
	f.Add([]byte(`{"entries":null,"next":5,"other":{"a":[1]}}`))
	f.Add([]byte(`{"entries":[{"offset":4},`))
	f.Fuzz(func(t *testing.T, data []byte) {
		page, err := decodePage(bytes.NewReader(data))
		if err != nil && len(page.Entries) > 0 {
			t.Fatal("entries together with an error")
		}
	})
}
