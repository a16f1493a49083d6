package journal

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
)

// BundleOverhead bounds the bytes that a bundle adds to each of its batches.
const BundleOverhead = 8

// bundleField is the number of the only field of wire.Bundle. A payload that
// starts with it is a bundle.
const bundleField = 15

// EncodeBundle joins the encoded batches of several writers into one payload.
// Their records are folded in order, and share the offset.
func EncodeBundle(payloads [][]byte) ([]byte, error) {
	encoded, err := proto.Marshal(&wire.Bundle{Batches: payloads})
	if err != nil {
		return nil, fmt.Errorf("encode bundle: %w", err)
	}
	return encoded, nil
}

// batches returns the batches of a payload, which is a bundle or a single
// batch. Those that cannot be decoded are left out. A bundle within a bundle is
// not taken apart, so it cannot make one payload arbitrarily costly.
func batches(payload []byte) []batch {
	var list []batch
	for _, encoded := range splitBundle(payload) {
		if b, err := decodeBatch(encoded); err == nil {
			list = append(list, b)
		}
	}
	return list
}

func splitBundle(payload []byte) [][]byte {
	number, _, _ := protowire.ConsumeTag(payload)
	if number != bundleField {
		return [][]byte{payload}
	}
	var bundle wire.Bundle
	if err := proto.Unmarshal(payload, &bundle); err != nil {
		return nil
	}
	return bundle.GetBatches()
}
