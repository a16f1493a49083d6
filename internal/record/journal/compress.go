package journal

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
)

const (
	// compressedField is the number of the only field of wire.Compressed. A
	// payload that starts with it is compressed.
	compressedField = 14
	// compressAbove is the encoded size in bytes above which batches are
	// compressed. Names repeat only in larger ones.
	compressAbove = 512
	// maxDecompressed bounds a decompressed batch in bytes, so that a small
	// payload cannot use up the memory of a process. The log takes much less.
	maxDecompressed = 16 << 20
)

// errTooLong is returned for a batch above maxDecompressed.
var errTooLong = errors.New("decompressed batch is too long")

// compress returns the shorter one of an encoded batch and its compressed form.
// A configuration goes to every process of the fleet, and most of it repeats.
func compress(encoded []byte) ([]byte, error) {
	if len(encoded) <= compressAbove {
		return encoded, nil
	}
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("compress batch: %w", err)
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, fmt.Errorf("compress batch: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress batch: %w", err)
	}
	compressed, err := proto.Marshal(&wire.Compressed{Deflated: deflated.Bytes()})
	if err != nil {
		return nil, fmt.Errorf("compress batch: %w", err)
	}
	if len(compressed) >= len(encoded) {
		return encoded, nil
	}
	return compressed, nil
}

// decompress returns the encoded batch of a payload, which may be compressed.
func decompress(payload []byte) ([]byte, error) {
	number, _, _ := protowire.ConsumeTag(payload)
	if number != compressedField {
		return payload, nil
	}
	var message wire.Compressed
	if err := proto.Unmarshal(payload, &message); err != nil {
		return nil, fmt.Errorf("decompress batch: %w", err)
	}
	r := flate.NewReader(bytes.NewReader(message.GetDeflated()))
	encoded, err := io.ReadAll(io.LimitReader(r, maxDecompressed+1))
	if err != nil {
		return nil, fmt.Errorf("decompress batch: %w", err)
	}
	if len(encoded) > maxDecompressed {
		return nil, errTooLong
	}
	return encoded, nil
}
