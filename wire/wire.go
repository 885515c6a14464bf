// Package wire holds the platform's message types. The protocol's field names
// and words appear here and nowhere else.
package wire

import "regexp"

// Paths of the platform's interfaces.
const (
	PathRuns     = "/v2/runs"
	PathHealth   = "/healthz"
	PathBeat     = "/agent/beat"
	PathDo       = "/do"
	PathShow     = "/show"
	PathCatalog  = "/catalog"
	PathRentals  = "/rentals"
	PathReturn   = "/rentals/return"
	PathKV       = "/kv"
	PathCommit   = "/commit"
	PathHolds    = "/holds"
	PathChanges  = "/changes"
	SuffixAbort  = "abort"
	SuffixRenew  = "renew"
	ContentType  = "application/msgpack"
	MaxBody      = 64 << 10
	MaxPieces    = 100_000
	MaxRentCount = 50
	MaxReturn    = 100
)

// Words of the protocol.
const (
	ShapeBatch    = "batch"
	ShapeStanding = "standing"
	ShapeGroup    = "group" // an array whose tasks run only all together

	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "cancelled"

	VerbRun    = "run"
	VerbHalt   = "halt"
	VerbForget = "forget"

	PieceFetching  = "fetching"
	PieceGathering = "gathering" // of a group, waiting for the others
	PieceRunning   = "running"
	PieceFlushing  = "flushing"
	PieceEnded     = "ended"

	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseFull    = "full"
	CauseInUse   = "in_use"
	CausePeers   = "peers" // of a group that lost a task
	CauseAlone   = "alone" // of a group that did not come together
	CauseNoSuch  = "no_such"

	HostBooting = "booting"
	HostRunning = "running"
	HostFailed  = "failed"
)

// Rank is a job's priority; larger goes first.
type Rank int

// The ranks, lowest first.
const (
	RankLow Rank = iota
	RankStandard
	RankHigh
	RankCritical
)

// RankOf maps the protocol's word to a Rank.
func RankOf(word string) (Rank, bool) {
	switch word {
	case "low":
		return RankLow, true
	case "standard":
		return RankStandard, true
	case "high":
		return RankHigh, true
	case "critical":
		return RankCritical, true
	}
	return 0, false
}

var uidForm = regexp.MustCompile(`^j-[0-9]{1,40}$`)

// ValidUID tells whether a job id has the form that users always use.
func ValidUID(uid string) bool { return uidForm.MatchString(uid) }

// Spec is a submitted job.
type Spec struct {
	UID       string   `msgpack:"uid"`
	Lane      string   `msgpack:"lane"`
	Owner     string   `msgpack:"owner"`
	Shape     string   `msgpack:"shape"`
	Rank      string   `msgpack:"rank"`
	Pieces    int      `msgpack:"pieces"`
	Cores     float64  `msgpack:"cores"`
	Accel     float64  `msgpack:"accelerators"`
	RAM       float64  `msgpack:"ram_gb"`
	Bundle    string   `msgpack:"bundle"`
	ImageGB   float64  `msgpack:"image_gb"`
	Builds    []string `msgpack:"builds"`
	Yard      string   `msgpack:"yard"`
	SamePlace bool     `msgpack:"same_place"`
	Apart     bool     `msgpack:"apart"`
	Loaned    bool     `msgpack:"loaned"`
	ExpectS   float64  `msgpack:"expect_s"`
	BookmarkS float64  `msgpack:"bookmark_s"`
	StowS     float64  `msgpack:"stow_s"`
	DueS      *float64 `msgpack:"due_s"`
}

// View is what a user sees of a job.
type View struct {
	UID     string `msgpack:"uid"`
	Status  string `msgpack:"status"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// PieceReport is one task in a worker's report.
type PieceReport struct {
	Piece  string `msgpack:"piece"`
	Try    uint64 `msgpack:"try"`
	Status string `msgpack:"status"`
	Cause  string `msgpack:"cause,omitempty"`
	Kept   bool   `msgpack:"kept,omitempty"`
}

// Beat is a worker's report.
type Beat struct {
	Host     string        `msgpack:"host"`
	Endpoint string        `msgpack:"endpoint"`
	Build    string        `msgpack:"build"`
	Yard     string        `msgpack:"yard"`
	Loaned   bool          `msgpack:"loaned"`
	Tenure   uint64        `msgpack:"tenure"`
	Tally    uint64        `msgpack:"tally"`
	Warrant  uint64        `msgpack:"warrant"`
	WarningS *float64      `msgpack:"warning_s"`
	Pieces   []PieceReport `msgpack:"pieces"`

	// Raw is the task list as it came, not decoded yet; see DecodePieces. Lists
	// seldom change from one report to the next.
	Raw []byte `msgpack:"-"`
}

// Mark is how far a worker's reports have come: the larger (Tenure, Tally) is the newer one.
type Mark struct{ Tenure, Tally uint64 }

// Order is one command to a worker.
type Order struct {
	Verb    string   `msgpack:"verb"`
	Piece   string   `msgpack:"piece"`
	Try     uint64   `msgpack:"try"`
	LeewayS *float64 `msgpack:"leeway_s,omitempty"`
}

// BeatAnswer is the 200 to a report.
type BeatAnswer struct {
	Warrant uint64  `msgpack:"warrant"`
	Orders  []Order `msgpack:"orders"`
}

// Redirect is the body of a 421.
type Redirect struct {
	Steward string `msgpack:"steward,omitempty"`
}

// Do is a direct command request.
type Do struct {
	Warrant uint64  `msgpack:"warrant"`
	Tenure  uint64  `msgpack:"tenure"`
	Orders  []Order `msgpack:"orders"`
}

// Build is one machine type of the catalogue.
type Build struct {
	SKU      string   `msgpack:"sku"`
	Cores    float64  `msgpack:"cores"`
	Accel    float64  `msgpack:"accelerators"`
	RAM      float64  `msgpack:"ram_gb"`
	CacheGB  float64  `msgpack:"cache_gb"`
	FetchGBs float64  `msgpack:"fetch_gb_per_s"`
	Hourly   float64  `msgpack:"hourly"`
	Spot     float64  `msgpack:"spot_price"`
	ReadyS   float64  `msgpack:"ready_s"`
	Yards    []string `msgpack:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Builds []Build `msgpack:"builds"`
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	Hire   string `msgpack:"hire"`
	Build  string `msgpack:"build"`
	Yard   string `msgpack:"yard"`
	Loaned bool   `msgpack:"loaned"`
	Count  int    `msgpack:"count"`
}

// Hosts names machines: the answer to a rental, the body of a return.
type Hosts struct {
	Hosts []string `msgpack:"hosts"`
}

// Host is one machine in the cloud's list.
type Host struct {
	UID      string  `msgpack:"uid"`
	Endpoint string  `msgpack:"endpoint"`
	Build    string  `msgpack:"build"`
	Yard     string  `msgpack:"yard"`
	Loaned   bool    `msgpack:"loaned"`
	Status   string  `msgpack:"status"`
	HeldS    float64 `msgpack:"held_s"`
}

// HostPage is one page of the cloud's list.
type HostPage struct {
	Hosts   []Host `msgpack:"hosts"`
	HasNext bool   `msgpack:"has_next"`
}
