package entry

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"wasabihoist/internal/record/journal"
)

// auditFilter selects entries of the audit trail. Empty fields match all
// entries.
type auditFilter struct {
	actor   string
	action  string
	subject string // subject selects the entries whose subject contains it.
	limit   int    // limit is the maximum number of entries; the newest are returned.
}

func auditFilterFromQuery(query url.Values) (auditFilter, error) {
	f := auditFilter{
		actor:   query.Get("actor"),
		action:  query.Get("action"),
		subject: query.Get("subject"),
		limit:   defaultAuditEntries,
	}
	text := query.Get("limit")
	if text == "" {
		return f, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		return f, fmt.Errorf("limit is %q: want a number above 0", text)
	}
	f.limit = limit
	return f, nil
}

// apply returns the newest matching entries, oldest first.
func (f auditFilter) apply(entries []journal.AuditEntry) []journal.AuditEntry {
	var matching []journal.AuditEntry
	for _, a := range entries {
		if f.matches(a.Audit) {
			matching = append(matching, a)
		}
	}
	return matching[max(0, len(matching)-f.limit):]
}

func (f auditFilter) matches(a journal.Audit) bool {
	return (f.actor == "" || a.Actor == f.actor) &&
		(f.action == "" || a.Action == f.action) &&
		strings.Contains(a.Subject, f.subject)
}
