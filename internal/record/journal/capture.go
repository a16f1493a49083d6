package journal

import (
	"encoding/binary"
	"fmt"
	"iter"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// wholePiece is the size of the pieces, in bytes, of which a whole encoded state
// is put together.
const wholePiece = 64 << 10

// Capture is the state of a journal at one point of the log. It is encoded
// piece by piece, and holds pointers to what the fold has replaced since.
type Capture struct {
	state *stateCopy
	size  int // size is the number of encoded bytes with the checksum.
}

func newCapture(c *stateCopy) *Capture {
	c.sort()
	size := checksumBytes
	for part := range c.parts {
		size += proto.Size(part)
	}
	return &Capture{state: c, size: size}
}

// Covers returns the first offset that the state does not cover.
func (c *Capture) Covers() int64 { return c.state.next }

// Size returns the number of bytes of the encoded state.
func (c *Capture) Size() int { return c.size }

// Chunks yields the encoded state as chunks of a size in bytes; the last one
// may be smaller. It stops after an error. Chunks are not used again, so the
// caller may keep them.
func (c *Capture) Chunks(size int) iter.Seq2[SnapshotChunk, error] {
	count := (c.size + size - 1) / size
	return func(yield func(SnapshotChunk, error) bool) {
		i := 0
		for state, err := range c.pieces(size) {
			if !yield(SnapshotChunk{Covers: c.Covers(), Index: i, Count: count, State: state}, err) || err != nil {
				return
			}
			i++
		}
	}
}

// pieces yields the encoded state, with its checksum at the end, in pieces of a
// size.
func (c *Capture) pieces(size int) iter.Seq2[[]byte, error] {
	return func(yield func([]byte, error) bool) {
		digest := xxhash.New()
		var pending []byte
		for part := range c.state.parts {
			from := len(pending)
			var err error
			pending, err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(pending, part)
			if err != nil {
				yield(nil, fmt.Errorf("encode snapshot: %w", err))
				return
			}
			_, _ = digest.Write(pending[from:]) // It returns no errors.
			var more bool
			if pending, more = cut(pending, size, yield); !more {
				return
			}
		}
		pending = binary.BigEndian.AppendUint64(pending, digest.Sum64())
		if pending, more := cut(pending, size, yield); more && len(pending) > 0 {
			yield(pending, nil)
		}
	}
}

// cut yields full pieces and returns the rest in memory of its own, and whether
// the receiver wants more.
func cut(pending []byte, size int, yield func([]byte, error) bool) ([]byte, bool) {
	rest := pending
	for len(rest) >= size {
		if !yield(rest[:size:size], nil) {
			return nil, false
		}
		rest = rest[size:]
	}
	if len(rest) < len(pending) {
		rest = append(make([]byte, 0, size), rest...)
	}
	return rest, true
}

// encode returns the whole encoded state.
func (c *Capture) encode() ([]byte, error) {
	data := make([]byte, 0, c.size)
	for piece, err := range c.pieces(wholePiece) {
		if err != nil {
			return nil, err
		}
		data = append(data, piece...)
	}
	return data, nil
}
