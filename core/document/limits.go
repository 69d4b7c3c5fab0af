package document

// Limits of a document. The platform stores values of up to 1 MB, which bounds the bytes; the counts keep
// a mistaken document from filling the 32 MB that the control part of an entry VM may use.
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
	MaxAllow      = 256 // entries of one list in a workspace
	MaxRoutes     = 1000
	MaxCascades   = 256
	MaxStages     = 8
	MaxName       = 63    // bytes of a name
	MaxNote       = 1000  // bytes of the author and of the note
	MaxSlots      = 10000 // concurrent requests for each backend server
	MaxWeight     = 10000
	MaxTokens     = 1_000_000  // largest limit of a workspace
	MaxCost       = 1 << 30    // millionths of a currency unit
	MaxStale      = 30 * 86400 // seconds without the platform
	MaxWait       = 60_000     // milliseconds that a cascade waits for a rating
	MaxMinimum    = 90         // percent; the sum of the minimum shares leaves the rest to urgent work
)

// Defaults of fields that are 0 in a document.
const (
	DefaultNormal = 10   // percent
	DefaultBatch  = 5    // percent
	DefaultTokens = 4096 // largest max_tokens of a workspace
	DefaultWait   = 500  // milliseconds to wait for a rating
)
