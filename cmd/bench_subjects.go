package cmd

import (
	"context"
	"encoding/json"

	"wasabihoist/internal/run/bench/capacitybench"
	"wasabihoist/internal/run/bench/fanoutbench"
	"wasabihoist/internal/run/bench/faultbench"
	"wasabihoist/internal/run/bench/journalbench"
	"wasabihoist/internal/run/bench/membershipbench"
	"wasabihoist/internal/run/bench/placementbench"
)

// subjects lists what can be measured. A new subject is added here.
func subjects() []subject {
	return []subject{
		{"placement", "completion time and fragmentation of the placement policies on recorded workloads", benchPlacement},
		{"placement-scale", "time of a decision and memory of a task by fleet size", benchPlacementScale},
		{"journal", "memory, log bytes and processor time of records and snapshots", benchJournal},
		{"capacity", "cost of the scheduler duty by workers and tasks, and of requests by rate", benchCapacity},
		{"leases", "cost of the placing agent and of each lease holder by workers, in processes of their own", benchLeases},
		{"faults", "work that is lost, run twice or falsely refused under faults, and recovery times", benchFaults},
		{"membership", "bytes, messages, processor time and memory of membership by fleet size", benchMembership},
		{"fanout", "bytes, delay and processor time of passing records on, through one reader and through the tree", benchFanout},
		{"fanout-fleet", "time until a configuration is in force in a region and in the whole fleet, without and under failures", benchFanoutFleet},
	}
}

func benchFanout(ctx context.Context, o benchOptions) (any, error) {
	options := fanoutbench.Default()
	options.Progress = o.progress
	return encoded(fanoutbench.Run(ctx, options))
}

func benchFanoutFleet(ctx context.Context, o benchOptions) (any, error) {
	options := fanoutbench.DefaultFleet()
	options.Progress = o.progress
	return encoded(fanoutbench.RunFleet(ctx, options))
}

func benchPlacement(ctx context.Context, o benchOptions) (any, error) {
	options := placementbench.Default()
	options.Seed = o.seed
	return placementbench.Run(ctx, options)
}

func benchLeases(ctx context.Context, o benchOptions) (any, error) {
	options := capacitybench.DefaultLeases()
	options.Progress = o.progress
	result, err := capacitybench.RunLeases(ctx, options)
	if err != nil {
		return nil, err
	}
	data, err := result.JSON()
	return json.RawMessage(data), err
}

func benchFaults(ctx context.Context, o benchOptions) (any, error) {
	options := faultbench.Default()
	options.Seed = o.seed
	options.Progress = o.progress
	return encoded(faultbench.Run(ctx, options))
}

func benchPlacementScale(ctx context.Context, o benchOptions) (any, error) {
	options := placementbench.Default()
	options.Seed = o.seed
	return placementbench.RunScale(ctx, options)
}

func benchJournal(ctx context.Context, _ benchOptions) (any, error) {
	return encoded(journalbench.Run(ctx, journalbench.Default()))
}

func benchCapacity(ctx context.Context, o benchOptions) (any, error) {
	options := capacitybench.Default()
	options.Progress = o.progress
	return encoded(capacitybench.Run(ctx, options))
}

func benchMembership(ctx context.Context, _ benchOptions) (any, error) {
	return encoded(membershipbench.Run(ctx, membershipbench.Default()))
}

// encoded takes the result of a measurement that has its own encoding.
func encoded[T interface{ JSON() ([]byte, error) }](result T, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	data, err := result.JSON()
	return json.RawMessage(data), err
}
