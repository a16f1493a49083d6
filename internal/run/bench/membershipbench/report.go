package membershipbench

import (
	"encoding/json"
	"fmt"
)

// Report holds the results of all measurements.
type Report struct {
	Points              []Point
	Exchanges           []Exchange
	BytesPerKnownMember float64 // BytesPerKnownMember is heap memory.
}

// Total is the estimated cost of one member with HTTP on fresh connections.
type Total struct {
	Members        int
	BytesPerSecond float64
	CPUPerSecond   float64 // CPUPerSecond is the share of one core.
}

// Totals adds the cost of HTTP to each point. A member serves as many
// exchanges as it starts, so it pays for one client and one server side each.
func (r Report) Totals() []Total {
	var fresh Exchange
	for _, e := range r.Exchanges {
		if e.Fresh {
			fresh = e
		}
	}
	totals := make([]Total, 0, len(r.Points))
	for _, p := range r.Points {
		totals = append(totals, Total{
			Members:        p.Members,
			BytesPerSecond: p.BytesPerSecond + 2*p.RequestsPerSecond*fresh.HeaderBytes,
			CPUPerSecond:   p.CPUPerSecond + p.RequestsPerSecond*fresh.CPUSeconds,
		})
	}
	return totals
}

type pointJSON struct {
	Members           int     `json:"members"`
	Complete          bool    `json:"complete"`
	BytesPerSecond    float64 `json:"bytes-per-second"`
	MessagesPerSecond float64 `json:"messages-per-second"`
	RequestsPerSecond float64 `json:"requests-per-second"`
	CPUPerSecond      float64 `json:"cpu-per-second"`
	LargestMessage    int     `json:"largest-message"`
}

type exchangeJSON struct {
	Fresh        bool    `json:"fresh"`
	Count        int     `json:"count"`
	PayloadBytes float64 `json:"payload-bytes"`
	HeaderBytes  float64 `json:"header-bytes"`
	CPUSeconds   float64 `json:"cpu-seconds"`
	MeanSeconds  float64 `json:"mean-seconds"`
}

type totalJSON struct {
	Members        int     `json:"members"`
	BytesPerSecond float64 `json:"bytes-per-second"`
	CPUPerSecond   float64 `json:"cpu-per-second"`
}

type reportJSON struct {
	Points              []pointJSON    `json:"points"`
	Exchanges           []exchangeJSON `json:"exchanges"`
	Totals              []totalJSON    `json:"totals-with-http"`
	BytesPerKnownMember float64        `json:"bytes-per-known-member"`
}

// JSON formats the report with names in kebab case.
func (r Report) JSON() ([]byte, error) {
	out := reportJSON{BytesPerKnownMember: r.BytesPerKnownMember}
	for _, p := range r.Points {
		out.Points = append(out.Points, pointJSON(p))
	}
	for _, e := range r.Exchanges {
		out.Exchanges = append(out.Exchanges, exchangeJSON(e))
	}
	for _, t := range r.Totals() {
		out.Totals = append(out.Totals, totalJSON(t))
	}
	data, err := json.MarshalIndent(out, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return data, nil
}
