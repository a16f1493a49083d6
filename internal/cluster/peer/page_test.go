package peer

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/record/journal"
)

func marshal(f *testing.F, m proto.Message) []byte {
	f.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

// Guards against pages of peers that stop the process or make its journal skip
// records or go back.
func FuzzPeerPage(f *testing.F) {
	entries := []*wire.LogEntry{{Offset: 1, Payload: []byte{0x0a, 0x01, 'a'}}, {Offset: 2}}
	f.Add(marshal(f, &wire.ReadRecordsReply{Entries: entries, Next: 3, Earliest: 1}))
	f.Add(marshal(f, &wire.ReadRecordsReply{Entries: entries, Next: 2}))
	f.Add(marshal(f, &wire.PushRecordsRequest{From: 1, Entries: entries, Next: 3}))
	f.Add(marshal(f, &wire.ReadRecordsRequest{From: 1, Max: -1, WaitMillis: -1}))
	f.Fuzz(func(t *testing.T, data []byte) {
		j := journal.New()
		s := NewServer(j, nil)
		var reply wire.ReadRecordsReply
		if proto.Unmarshal(data, &reply) == nil {
			page := pageFromWire(reply.GetEntries(), reply.GetNext(), reply.GetEarliest())
			before := j.Next()
			err := j.Apply(before, page)
			if j.Next() < before || (err != nil && j.Next() != before) {
				t.Fatalf("next went from %d to %d", before, j.Next())
			}
		}
		var push wire.PushRecordsRequest
		if proto.Unmarshal(data, &push) == nil {
			_, _ = s.PushRecords(context.Background(), &push)
		}
		var read wire.ReadRecordsRequest
		if proto.Unmarshal(data, &read) == nil {
			read.WaitMillis = min(read.GetWaitMillis(), 1)
			_, _ = s.ReadRecords(context.Background(), &read)
		}
	})
}
