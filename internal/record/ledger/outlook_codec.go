package ledger

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"wasabihoist/internal/fleet/lateness"
	"wasabihoist/internal/fleet/outlook"
	"wasabihoist/internal/fleet/workload"
)

type outlookRecord struct {
	At    int64            `json:"at-ms"`
	Kinds []hostKindRecord `json:"host-kinds,omitempty"`
	Waits map[string]int64 `json:"waits-ms,omitempty"` // Waits holds the waits by the name of the class.
}

type hostKindRecord struct {
	MilliCores   int      `json:"milli-cores"`
	MemoryMB     int      `json:"memory-mb"`
	Accelerators int      `json:"accelerators,omitempty"`
	Labels       []string `json:"labels,omitempty"`
	Count        int      `json:"count"`
}

// EncodeOutlook returns the record of the outlook of a service.
func EncodeOutlook(o outlook.Outlook) (Record, error) {
	r := outlookRecord{At: o.At.UnixMilli(), Waits: make(map[string]int64)}
	for _, k := range o.Kinds {
		r.Kinds = append(r.Kinds, hostKindRecord{k.Capacity.MilliCores, k.Capacity.MemoryMB, k.Capacity.Accelerators, k.Labels, k.Count})
	}
	for class, wait := range o.Waits {
		r.Waits[class.String()] = wait.Milliseconds()
	}
	return encode(OutlookKind.Key(o.Service), r)
}

// decodeOutlook returns the outlook of a record, or an error if it is not valid.
func decodeOutlook(service string, value []byte) (outlook.Outlook, error) {
	var r outlookRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return outlook.Outlook{}, fmt.Errorf("decode outlook of %s: %w", service, err)
	}
	o := outlook.Outlook{Service: service, At: time.UnixMilli(r.At), Waits: make(map[lateness.Class]time.Duration)}
	for _, k := range r.Kinds {
		kind := outlook.HostKind{Capacity: workload.Resources{MilliCores: k.MilliCores, MemoryMB: k.MemoryMB, Accelerators: k.Accelerators}, Labels: k.Labels, Count: k.Count}
		if err := kind.Capacity.Validate(); err != nil || k.Count < 0 || k.Count > maxHosts {
			return o, fmt.Errorf("decode outlook of %s: a kind of hosts has %d with %+v", service, k.Count, kind.Capacity)
		}
		o.Kinds = append(o.Kinds, kind)
	}
	for name, wait := range r.Waits {
		class := slices.Index(lateness.Classes[:], name)
		if class < 0 || wait < 0 {
			return o, fmt.Errorf("decode outlook of %s: the wait of class %.40q is %d ms", service, name, wait)
		}
		o.Waits[lateness.Class(class)] = fromMillis(wait)
	}
	return o, nil
}

// maxHosts is above the number of hosts of any service.
const maxHosts = 1_000_000
