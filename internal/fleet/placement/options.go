package placement

import "time"

// Options are the settings of a Planner.
type Options struct {
	Weights Weights

	AttemptLimit  int // AttemptLimit bounds the searches for a place in one call of Decide.
	GuaranteeWork int // GuaranteeWork bounds the steps of one search for guaranteed shapes.

	Checkpoint       time.Duration // Checkpoint is how long a reclaimed job may take to leave.
	UrgentCheckpoint time.Duration // UrgentCheckpoint replaces Checkpoint when an urgent job waits.
	LaterCheckpoint  time.Duration // LaterCheckpoint is the least for a later choice of an urgent job.

	ReserveAfter time.Duration // ReserveAfter is the wait after which a job may get a reservation.
	MaxWait      time.Duration // MaxWait is the age at which a reservation takes borrowed accelerators back.
	Reservations int           // Reservations is how many jobs may have a reservation at a time.

	Backlog time.Duration // Backlog is the waiting work, in time of the whole fleet, above which the largest jobs are put off; 0 for no bound.

	PutOffShare float64 // PutOffShare is the share of all jobs that may be put off.

	RunTimeQuantile float64 // RunTimeQuantile of the learned ratios corrects declared run times.
	SizeQuantile    float64 // SizeQuantile of the learned ratios corrects declared memory and cores.

	MoveInterval time.Duration // MoveInterval is the time between two searches for moves; 0 turns moves off.
	MoveCost     time.Duration // MoveCost is the run time that a moved job loses.
	MoveGain     float64       // MoveGain is the least ratio of gained to lost accelerator time of a move.
}

// Weights are the weights of the weighted policies.
type Weights struct {
	Patience float64 // Patience is when a job without deadline counts as late, in run times after submission.
	Fairness float64 // Fairness is the delay in seconds that a whole data centre in use costs an organisation.
	Rack     float64 // Rack is the cost of each free accelerator in the rack.
	Worker   float64 // Worker is the cost of each accelerator that stays free on the worker.
	Core     float64 // Core is the cost of each accelerator of a worker that takes a job without accelerators.
}

// Default returns the options used in production.
func Default() Options {
	return Options{
		Weights:       Weights{Patience: 20, Fairness: 1800, Rack: 1, Worker: 4, Core: 16},
		AttemptLimit:  256,
		GuaranteeWork: 20_000,
		// A checkpoint of an ordinary job may take as long as its worker needs to
		// write its memory. Urgent work starts within 9.1 s, so it waits for
		// half of that and leaves the rest for the stop and the gang start.
		Checkpoint:       30 * time.Second,
		UrgentCheckpoint: 4 * time.Second,
		// A later choice may come 6 s after the submission, and the start needs 1 s.
		LaterCheckpoint: 1500 * time.Millisecond,
		ReserveAfter:    10 * time.Minute,
		MaxWait:         2 * time.Hour,
		Reservations:    2,
		Backlog:         20 * time.Minute,
		// One in a hundred, so that the 99th percentile is that of the others.
		PutOffShare:     0.01,
		RunTimeQuantile: 0.75,
		SizeQuantile:    0.95,
		MoveInterval:    5 * time.Second,
		MoveCost:        30 * time.Second,
		MoveGain:        2,
	}
}
