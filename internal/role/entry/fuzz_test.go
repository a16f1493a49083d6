package entry

import (
	"bytes"
	"testing"
	"time"

	"wasabihoist/internal/role/restapi"
	"wasabihoist/internal/tenancy/configuration"
)

// Guards against request bodies that crash the entry or are accepted without an
// identity or a deadline.
func FuzzRequestBody(f *testing.F) {
	f.Add([]byte(`{"id":"1","service":"fitting-desk","kind":"check","deadline":"2026-05-04T10:00:00Z","body":"YQ=="}`))
	f.Add([]byte(`{"id":""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body restapi.Request
		if decodeJSON(bytes.NewReader(data), &body) != nil {
			return
		}
		r, err := requestFromBody(body, "desk")
		if err == nil && (r.Identity.ID == "" || r.Deadline.IsZero() || r.Identity.Organisation != "desk") {
			t.Fatalf("accepted %+v", r)
		}
	})
}

// Guards against job bodies that crash the entry or whose values overflow.
func FuzzJobBody(f *testing.F) {
	f.Add([]byte(`{"id":"1","kind":"check","members":2,"accelerators-per-member":8,"adjacency":"rack","cores-per-member":16,
		"memory-per-member-mb":64000,"run-time-s":7200,"deadline":"2026-05-04T10:00:00Z","data-centre":"caico"}`))
	f.Add([]byte(`{"id":"1","memory-per-member-mb":9223372036854775807,"run-time-s":1e300}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body restapi.Job
		if decodeJSON(bytes.NewReader(data), &body) != nil {
			return
		}
		j, err := jobFromBody(body, "desk", time.Now())
		if err != nil {
			return
		}
		if j.Memory < 0 || j.RunTime < 0 || j.Cores < 0 || j.Shape.Total() < 0 || j.Shape.Members < 1 || len(j.DataCentre) > 128 {
			t.Fatalf("accepted %+v", j)
		}
	})
}

// Guards against edits that crash the entry or are accepted although they
// cannot be formatted again.
func FuzzPublishBody(f *testing.F) {
	f.Add([]byte(`{"base":1,"operator":"ana","plans-path":"plans.toml","plans":"[[organisation]]\nname = \"desk\"\nplan = \"p\"\n",
		"allowances-path":"allowances.toml","allowances":"[[plan]]\nname = \"p\"\nservices = [\"s\"]\nkinds = [\"k\"]\naccelerator-limit = 4\n"}`))
	f.Add([]byte(`{"plans":"[[organisation]]\nname = 1\ncloses = \"soon\""}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body restapi.PublishRequest
		if decodeJSON(bytes.NewReader(data), &body) != nil {
			return
		}
		edited, err := configuration.Parse(
			configuration.Source{Path: body.PlansPath, Data: []byte(body.Plans)},
			configuration.Source{Path: body.AllowancesPath, Data: []byte(body.Allowances)},
		)
		if err != nil {
			return
		}
		if _, _, err := configuration.Format(edited); err != nil {
			t.Fatal(err)
		}
	})
}
