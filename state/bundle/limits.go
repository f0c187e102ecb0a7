package bundle

// Bounds of a bundle. Without them a mistake of an operator or a faulty client could produce a bundle that exhausts the
// memory of every node. Names that end in Ms are in milliseconds.
const (
	MaxServices  = 4096
	MaxRoutes    = 16384
	MaxResources = 4096
	MaxTeams     = 16384
	// MaxRoutesPerPath bounds the routes with the same host and path prefix. The check for ambiguous matches compares
	// all pairs of them.
	MaxRoutesPerPath     = 64
	MaxResourcesPerRoute = 16
	MaxKeysPerTeam       = 64
	MaxKeyLength         = 512

	MaxNameLength        = 63
	MaxHostLength        = 253
	MaxPathLength        = 512
	MaxHeaders           = 32
	MaxHeaderNameLength  = 256
	MaxHeaderValueLength = 4096

	MaxConcurrency    = 10_000
	MaxQueueLimit     = 100_000
	MaxSlowStartMs    = 600_000
	MaxDeadlineMs     = 600_000
	MaxAttempts       = 8
	MaxPriority       = 16
	MaxShares         = 64
	MaxWeight         = 1_000_000
	MaxConnections    = 100_000
	MaxBudgetPercent  = 100
	MaxBodyBytes      = 1 << 30
	MaxHeaderBytes    = 1 << 20
	MaxCallsPerSecond = 1_000_000
	MaxBurst          = 1_000_000

	// MaxFileBytes bounds one bundle file.
	MaxFileBytes = 16 << 20
)
