package placement

import (
	"time"

	"github.com/cuminwing/cuminwing/internal/targetstate"
)

// Target is what placement needs to know about one incarnation of a target.
type Target struct {
	ID      string
	Address string
	Zone    string
	Region  string
	// Excluded targets get no new requests. Terminating targets are about to
	// stop, so nothing is fetched from them.
	Excluded    bool
	Terminating bool
	// ExcludedFor is the reason of Excluded, if it is known.
	ExcludedFor Exclusion
	// Cohort is that of the target's software version during a rollout.
	Cohort Cohort
	// Started is the start time of the incarnation: an engine may restart under
	// the same ID.
	Started int64
	// Weights is the version of the model weights that the engine runs.
	Weights uint64
	// CacheTokens is the engine's memory in tokens; 0 if it is not known.
	CacheTokens int
	// Slots is the number of requests that the engine runs at once; 0 if it is not known.
	Slots int
	// TransferMSPerToken is the time to send a cached token within a zone, in milliseconds;
	// 0 if it is not known.
	TransferMSPerToken float64
	// Backups is set if the engine can have its runs copied to others and keep such copies,
	// and CopyKept is how long it keeps one after its last part; 0 if that is not known.
	Backups  bool
	CopyKept time.Duration
}

// Part is one part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// Request is a request to be placed.
type Request struct {
	Service string
	// OutputTokens is the largest number of tokens of the response; 0 if it is not known.
	OutputTokens int
	// MaxPause is the longest pause between two events that a stream may have to be in time;
	// 0 if there is no such bound.
	MaxPause time.Duration
	// Parts are the parts of the prompt in order. UniqueParts is the number of
	// trailing parts that no other request shares.
	Parts       []Part
	UniqueParts int
	// Weights is the version of the model weights that the engine should run.
	// Engines with older weights get a penalty.
	Weights uint64
	// Priority is the priority with which the target runs the request; 0 is the highest.
	Priority int
	// PeerPriority is the lowest priority whose requests this one does not overtake once a
	// target has admitted them, if it is lower than Priority.
	PeerPriority int
	// Class names requests that targets answer alike, for example the route.
	Class string
	// Stream is set if the response is a stream of events.
	Stream bool
	// Exclude lists the IDs of targets that have failed this request.
	Exclude []string
	// Cohort is the only cohort to whose targets the request may be sent.
	Cohort Cohort
	// OnlyReachable is set if no target may be chosen that could not be reached before.
	OnlyReachable bool
	// Bounds are the times beyond which a target is chosen only if there is no better one.
	Bounds Bounds
	// Accept is asked about the chosen target. If it reports false, the choice is returned
	// with Refused set, and nothing is recorded. It must not call the Placer. It may be nil.
	Accept func(c *Choice) bool
	// Backup is set if a copy of the run should be kept at another engine, and Objective is
	// the longest time to the first byte that is in time; 0 if there is no such bound.
	Backup    bool
	Objective time.Duration

	sums promptSums
}

// sharedParts returns the parts that other requests may share.
func (r *Request) sharedParts() []Part { return r.Parts[:max(len(r.Parts)-r.UniqueParts, 0)] }

// Choice is the chosen target of a request. The caller must call Done exactly
// once.
type Choice struct {
	Target Target
	// CachedTokens is the number of prompt tokens believed to be cached at the
	// target.
	CachedTokens int
	// Home is set if the target is the one that all VMs prefer for the shared
	// parts.
	Home bool
	// FetchFrom is an engine or store from which the target can fetch parts
	// that it does not have; nil if there is none.
	FetchFrom *Target
	// SaveTo is the address of the store to which the engine saves what it
	// prefills; empty if the store holds the shared parts already, or if no
	// store is used.
	SaveTo string
	// Expected is the expected time to the first byte of the response. Certain is set if
	// recent responses of the target agree with such an expectation, so that a request
	// may be refused because of it.
	Expected time.Duration
	Certain  bool
	// Limited is set if the target has named a limit of requests a second.
	Limited bool
	// Refused is set if Request.Accept has rejected the choice. Done must not be called.
	Refused bool
	// Belief is what was believed of the target.
	Belief Belief
	// Unanswered is set by Done if the request was sent and ended without a first byte.
	Unanswered *Unanswered
	// OnFirstEvent is called at the first event of the response. It may be nil.
	OnFirstEvent func()
	// SendDelay is how long the request should wait before it is sent, so that the target
	// has the parts that it is prefilling. Expected includes it.
	SendDelay time.Duration
	// NotRun is set by the caller before RecordFirstByte if the response shows that the target
	// has not run the request, or has failed it. Its time then says nothing of the engine.
	NotRun bool
	// LongestPause is set by the caller before Done to the longest time between two events of
	// the stream.
	LongestPause time.Duration
	// Backup is the engine that gets a copy of the run; nil if there is none.
	Backup *Backup
	// FromCopy is set if the run continues from such a copy.
	FromCopy bool

	member  *member
	attempt *targetstate.Attempt
	// workMS is the time that the engine needs to fetch and prefill the prompt.
	workMS float64
	// slowdown is how many times longer than that the target takes.
	slowdown float64
	// fetchedTokens is the number of tokens that the engine is expected to fetch.
	fetchedTokens int
	// costMS is the cost of the choice without prices and preferences.
	costMS float64
	// insertedTokens is the number of tokens that the request adds to the
	// engine's memory.
	insertedTokens float64
	expectation    targetstate.Expectation
	engineChoice
	service       string
	priority      int
	sentAt        time.Time
	firstByteSeen bool
	// announced is set if the other VMs count the work of the request.
	announced bool
	stream    streamTimes
}
