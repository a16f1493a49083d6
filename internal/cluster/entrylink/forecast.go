package entrylink

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"wasabihoist/internal/base/collection"
	"wasabihoist/internal/fleet/allocation"
	"wasabihoist/internal/fleet/coordinator"
	"wasabihoist/internal/fleet/workload"
	"wasabihoist/internal/role/gateway"
)

const (
	forecastPath = "/forecast"
	// ForecastPattern is the pattern of the forecasts for http.ServeMux.
	ForecastPattern = "POST " + forecastPath
	// forecastTimeout bounds a forecast. A plan takes some milliseconds.
	forecastTimeout = 2 * time.Second
	// maxForecastBytes bounds both bodies.
	maxForecastBytes = 1 << 20
)

// forecastQuery is the body of a query: what a client would send.
type forecastQuery struct {
	Host string `json:"host"`
	Path string `json:"path"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// forecastReply is a coordinator.Forecast, or an error.
type forecastReply struct {
	Error       string             `json:"error,omitempty"`
	Known       bool               `json:"known"`
	Rank        int                `json:"rank"`
	SlackMillis int64              `json:"slack-ms"`
	Steps       []stepForecastBody `json:"steps"`
}

type stepForecastBody struct {
	Step        int            `json:"step"`
	Tasks       int            `json:"tasks"`
	Before      int            `json:"before"`
	Hosts       []string       `json:"hosts"`
	Stops       []string       `json:"stops"`
	Waits       bool           `json:"waits"`
	Reserved    []string       `json:"reserved"`
	StartMillis int64          `json:"start-in-ms"` // StartMillis is the planned start of a gang with reserved hosts.
	Fits        map[string]int `json:"fits"`
	Headroom    int            `json:"headroom"`
}

// Forecaster is a coordinator that forecasts where a job would go.
type Forecaster interface {
	Forecast(ctx context.Context, job workload.Job) (coordinator.Forecast, error)
}

// ForecastHandler serves forecasts of submissions. It answers 503 where another process
// leads, and 400 for a submission that is not permitted or malformed.
func ForecastHandler(g *gateway.Gateway, f Forecaster) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), forecastTimeout)
		defer cancel()
		var query forecastQuery
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxForecastBytes)).Decode(&query); err != nil {
			writeForecast(w, http.StatusBadRequest, forecastReply{Error: err.Error()})
			return
		}
		job, err := g.Describe(gateway.Call{Method: gateway.Submit, Host: query.Host, Path: query.Path, Key: query.Key, Body: query.Body})
		if err != nil {
			writeForecast(w, http.StatusBadRequest, forecastReply{Error: err.Error()})
			return
		}
		forecast, err := f.Forecast(ctx, job)
		if err != nil {
			writeForecast(w, http.StatusServiceUnavailable, forecastReply{Error: err.Error()})
			return
		}
		writeForecast(w, http.StatusOK, encodeForecast(forecast))
	})
}

func writeForecast(w http.ResponseWriter, status int, reply forecastReply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply) // A client that has left gets nothing.
}

func encodeForecast(f coordinator.Forecast) forecastReply {
	reply := forecastReply{Known: f.Known, Rank: int(f.Rank), SlackMillis: f.Slack.Milliseconds()}
	for _, s := range f.Steps {
		body := stepForecastBody{
			Step: s.Step, Tasks: s.Tasks, Before: s.Before, Hosts: s.Hosts, Waits: s.Waits, Headroom: s.Headroom, Fits: make(map[string]int),
		}
		for _, id := range s.Stops {
			body.Stops = append(body.Stops, string(id))
		}
		if r, ok := s.Reservation.Get(); ok {
			body.Reserved, body.StartMillis = r.Hosts, r.StartIn.Milliseconds()
		}
		for fit, n := range s.Fits {
			body.Fits[fit.String()] = n
		}
		reply.Steps = append(reply.Steps, body)
	}
	return reply
}

func decodeForecast(reply forecastReply) coordinator.Forecast {
	f := coordinator.Forecast{Known: reply.Known, Rank: allocation.Rank(reply.Rank), Slack: time.Duration(reply.SlackMillis) * time.Millisecond}
	for _, body := range reply.Steps {
		s := coordinator.StepForecast{
			Step: body.Step, Tasks: body.Tasks, Before: body.Before, Hosts: body.Hosts, Waits: body.Waits, Headroom: body.Headroom, Fits: make(map[allocation.Fit]int),
		}
		for _, id := range body.Stops {
			s.Stops = append(s.Stops, workload.ID(id))
		}
		if len(body.Reserved) > 0 {
			s.Reservation = collection.Some(allocation.Reservation{Hosts: body.Reserved, StartIn: time.Duration(body.StartMillis) * time.Millisecond})
		}
		for fit := allocation.Closed; fit <= allocation.Free; fit++ {
			if n := body.Fits[fit.String()]; n > 0 {
				s.Fits[fit] = n
			}
		}
		f.Steps = append(f.Steps, s)
	}
	return f
}

// Forecast asks the entry at an address where the job of a submission would go. The
// error says why there is no forecast.
func Forecast(ctx context.Context, client *http.Client, address netip.AddrPort, c gateway.Call) (coordinator.Forecast, error) {
	query, err := json.Marshal(forecastQuery{c.Host, c.Path, c.Key, c.Body})
	if err != nil {
		return coordinator.Forecast{}, fmt.Errorf("encode forecast query: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+forecastPath, bytes.NewReader(query))
	if err != nil {
		return coordinator.Forecast{}, fmt.Errorf("forecast: %w", err)
	}
	resp, err := client.Do(r)
	if err != nil {
		return coordinator.Forecast{}, fmt.Errorf("forecast: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply forecastReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxForecastBytes)).Decode(&reply); err != nil {
		return coordinator.Forecast{}, fmt.Errorf("decode forecast: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return coordinator.Forecast{}, errors.New(reply.Error)
	}
	return decodeForecast(reply), nil
}
