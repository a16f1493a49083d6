package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"wasabihoist/internal/record/ledger"
	"wasabihoist/internal/standin/fleetstore"
)

// directory is a store whose member records name the links to the processes, so
// that processes call each other through them.
type directory struct {
	*fleetstore.Store
	fronts map[string]string // fronts holds quoted addresses. It is complete before the first process starts.
}

// announce lets an address be replaced by that of a link.
func (d directory) announce(address, link netip.AddrPort) {
	d.fronts[fmt.Sprintf("%q", address)] = fmt.Sprintf("%q", link)
}

// Append implements ledger.Store.
func (d directory) Append(ctx context.Context, name ledger.Topic, records []ledger.Record) error {
	records = slices.Clone(records)
	for i, r := range records {
		if !strings.HasPrefix(r.Key, ledger.MemberKind.Key("")) {
			continue
		}
		for address, link := range d.fronts {
			records[i].Value = bytes.ReplaceAll(records[i].Value, []byte(address), []byte(link))
		}
	}
	return d.Store.Append(ctx, name, records)
}
