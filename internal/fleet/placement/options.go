package placement

import "time"

// Options are the settings of a Planner.
type Options struct {
	Weights Weights

	SearchLimit        int // SearchLimit bounds the searches for a placement in one call of Decide.
	GuaranteeStepLimit int // GuaranteeStepLimit bounds the steps of one search by the guarantee ledger.

	CheckpointTimeout          time.Duration // CheckpointTimeout is how long a reclaimed job may take for its checkpoint.
	UrgentCheckpointTimeout    time.Duration // UrgentCheckpointTimeout replaces CheckpointTimeout for a reclaim on behalf of an urgent job.
	MinUrgentCheckpointTimeout time.Duration // MinUrgentCheckpointTimeout is the shortest checkpoint timeout when an urgent job reclaims a second placement.

	ReserveAfter    time.Duration // ReserveAfter is the time since submission after which a job may get a reservation. A deferred job waits 2 * ReservationWait instead.
	ReservationWait time.Duration // ReservationWait is the age of a reservation from which it may reclaim any borrowed job.
	MaxReservations int           // MaxReservations bounds the jobs that have a reservation at the same time.

	BacklogLimit time.Duration // BacklogLimit bounds the waiting work, measured as the time that the whole fleet needs for it. Above it the largest jobs are deferred; 0 for no limit.

	DeferredShare float64 // DeferredShare is the share of all submitted jobs that may be deferred.

	RunTimeQuantile float64 // RunTimeQuantile of the learned ratios corrects declared run times.
	SizeQuantile    float64 // SizeQuantile of the learned ratios corrects declared memory and cores.

	MoveInterval time.Duration // MoveInterval is the time between two searches for a job to move; 0 disables the search.
	MoveCost     time.Duration // MoveCost is the run time that a moved job loses.
	MinMoveGain  float64       // MinMoveGain is the lowest ratio of gained to lost accelerator time at which a job is moved.
}

// Weights are the parameters of CompletionFirst and FragmentationFirst. Patience and
// Fairness apply to CompletionFirst only.
type Weights struct {
	Patience float64 // Patience is how long a job without a deadline may wait after submission, as a multiple of its run time.
	Fairness float64 // Fairness is the delay in seconds that an organisation of share 1 gets for using the whole data centre.
	Rack     float64 // Rack is the cost of each accelerator that is free in the rack before the job starts.
	Worker   float64 // Worker is the cost of each accelerator that stays free on the worker.
	Core     float64 // Core is the cost of each accelerator of a worker that a job without accelerators would use.
}

// Default returns the options used in production.
func Default() Options {
	return Options{
		Weights:            Weights{Patience: 20, Fairness: 1800, Rack: 1, Worker: 4, Core: 16},
		SearchLimit:        256,
		GuaranteeStepLimit: 20_000,
		// An ordinary checkpoint may take as long as the worker needs to write its
		// memory. Urgent jobs start within 9.1 s: less than half of that is for the
		// checkpoint, and the rest is for the stop and the gang start.
		CheckpointTimeout:       30 * time.Second,
		UrgentCheckpointTimeout: 4 * time.Second,
		// A second reclaim may begin 6 s after the submission, and the start takes
		// 1 s. With 1.5 s for the checkpoint the sum is below 9.1 s.
		MinUrgentCheckpointTimeout: 1500 * time.Millisecond,
		ReserveAfter:               10 * time.Minute,
		ReservationWait:            2 * time.Hour,
		MaxReservations:            2,
		BacklogLimit:               20 * time.Minute,
		// At most 1 job in 100 is deferred, so that deferred jobs do not determine
		// the 99th percentile of the completion times.
		DeferredShare:   0.01,
		RunTimeQuantile: 0.75,
		SizeQuantile:    0.95,
		MoveInterval:    5 * time.Second,
		MoveCost:        30 * time.Second,
		MinMoveGain:     2,
	}
}
