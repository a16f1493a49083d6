package journal

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/tenancy/organisation"
)

// Guards against batches that differ after the way through a compressed
// payload, and against small ones that grow.
func TestCompressedBatchIsTheSame(t *testing.T) {
	tests := map[string]struct {
		organisations int
		compressed    bool
	}{"small": {1, false}, "large": {240, true}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			record := ConfigurationPublished{Operator: "ana"}
			for i := range tt.organisations {
				record.Organisations = append(record.Organisations, organisation.Organisation{Name: fmt.Sprint("organisation-", i), Plan: "p"})
			}
			want := batch{writer: "a@1", records: []envelope{{sequence: 1, time: start, record: record}}}
			payload, err := encodeBatch(want)
			c.Assert(err, qt.IsNil)
			c.Assert(payload[0] == compressedField<<3|2, qt.Equals, tt.compressed)
			got, err := decodeBatch(payload)
			c.Assert(err, qt.IsNil)
			c.Assert(got.records[0].record, qt.DeepEquals, Record(record))
		})
	}
}

// Guards against a small payload that uses up the memory of every process that
// folds the log.
func TestDecompressionIsBounded(t *testing.T) {
	c := qt.New(t)
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.BestCompression)
	c.Assert(err, qt.IsNil)
	_, err = w.Write(make([]byte, maxDecompressed+1))
	c.Assert(err, qt.IsNil)
	c.Assert(w.Close(), qt.IsNil)
	payload, err := proto.Marshal(&wire.Compressed{Deflated: deflated.Bytes()})
	c.Assert(err, qt.IsNil)
	c.Assert(len(payload) < 100_000, qt.IsTrue)
	_, err = decompress(payload)
	c.Assert(errors.Is(err, errTooLong), qt.IsTrue)
	c.Assert(newState().apply(1, payload), qt.HasLen, 0)
}
