package document

// Limits of a document. The platform's store accepts values of up to 1 MB, which sets MaxBytes. The limits of the numbers of
// entries keep a faulty document from filling the 32 MB of memory that the control part of an entry VM may use.
const (
	MaxBytes      = 1_000_000
	MaxNesting    = 8
	MaxDomains    = 64
	MaxModels     = 256
	MaxVersions   = 32 // of one model
	MaxPools      = 256
	MaxServices   = 64
	MaxCalls      = 64 // of one service
	MaxWorkspaces = 4000
	MaxKeys       = 16  // of one workspace
	MaxAllow      = 256 // entries of each list of names in a workspace
	MaxRoutes     = 1000
	MaxCascades   = 256
	MaxStages     = 8
	MaxName       = 63    // bytes of a name
	MaxNote       = 1000  // bytes of the author, of the note and of the path of a call
	MaxSlots      = 10000 // concurrent requests for each backend server
	MaxWeight     = 10000
	MaxTokens     = 1_000_000  // largest limit of a workspace
	MaxCost       = 1 << 30    // millionths of a currency unit
	MaxStale      = 30 * 86400 // seconds without an answer from the platform's store
	MaxWait       = 60_000     // milliseconds that a cascade waits for a rating
	MaxMinShares  = 90         // percent; limits the sum of the minimum shares, so that urgent work gets at least the rest
)

// Defaults of fields that are 0 in a document.
const (
	DefaultNormalShare = 10   // minimum share of normal work in percent
	DefaultBatchShare  = 5    // minimum share of batch work in percent
	DefaultTokens      = 4096 // largest max_tokens of a workspace
	DefaultWait        = 500  // milliseconds that a cascade waits for a rating
)
