// Package limiter decides which requests are inside a workspace's rate, which
// counts across the whole fleet, and how many batch items an engine may run.
//
// A lender keeps a pool of tokens for each workspace of its rate shard and
// lends them to the entries under contracts. At every moment
//
//	free tokens + lent tokens + standing tokens <= burst,
//
// where a lent token counts until its borrower has reported it as used or
// returned, or until the contract has ended by the lender's clock. Tokens are
// made only at the workspace's rate. So the admissions in any window T are at
// most burst + rate*T. Batch permits of an engine are lent in the same way,
// but they come back instead of being used up.
//
// The package holds decisions only. Package leaser connects it with the
// platform and with the links.
package limiter

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Times of contracts.
const (
	// ContractTerm is how long a borrower may use what it holds after it sent
	// the last ask that was answered.
	ContractTerm = 5 * time.Second
	// ContractMargin is how much longer the lender counts it as lent. It
	// covers clocks that differ in speed and the time to stop a batch item.
	ContractMargin = 500 * time.Millisecond
	// AskTimeout bounds the wait of a request for an answer of the lender.
	// Tokens lent to waiting requests are not used after it.
	AskTimeout = 250 * time.Millisecond
	// HandOverTime bounds the time in which a leaving lender hands a shard over.
	// Meanwhile requests wait for the successor, each for AskTimeout at most.
	HandOverTime = time.Second
	// PrefetchPeriod is the interval at which borrowers adapt to demand.
	PrefetchPeriod = 250 * time.Millisecond
	// EndOfContracts is the time after which nothing that a lender lent
	// before can be in use any more, by any clock.
	EndOfContracts = ContractTerm + ContractMargin
)

// tokenEpsilon absorbs rounding when fractions of tokens are added up.
const tokenEpsilon = 1e-9

// A Clock tells the time. All times are used for differences only.
type Clock interface {
	Now() time.Time
}

// A Reason says why a request was admitted or refused.
type Reason string

// The reasons of decisions.
const (
	ReasonBorrowed          Reason = "borrowed"           // Admitted with a token borrowed before.
	ReasonCancelled         Reason = "cancelled"          // The caller went away while waiting.
	ReasonExceeded          Reason = "rate-exceeded"      // The lender had no token.
	ReasonLenderUnreachable Reason = "lender-unreachable" // No token here, and the lender did not answer.
	ReasonLent              Reason = "lent"               // Admitted with a token lent for this request.
	ReasonNoLender          Reason = "no-lender"          // No token here, and no lender is known.
	ReasonStanding          Reason = "standing"           // Admitted with a token of the standing share.
	ReasonUnknownWorkspace  Reason = "unknown-workspace"  // The workspace is not declared.
)

// A Decision says whether a request may run.
type Decision struct {
	Admitted   bool
	Reason     Reason
	RetryAfter time.Duration // When a refused request may find a token; zero when unknown.
}

// WorkspaceSubject is the subject of the contracts for a workspace's rate.
func WorkspaceSubject(workspace string) string {
	return "workspace/" + workspace
}

// EngineSubject is the subject of the contracts for an engine's permits.
func EngineSubject(server string) string {
	return "engine/" + server
}

// ShardOf returns the rate shard of a subject. All instances agree on it.
func ShardOf(subject string, shards int) int {
	return int(hashOf(subject) % uint64(max(1, shards)))
}

// hashOf is a hash that is the same in all processes.
func hashOf(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	// FNV mixes its last bytes poorly into the low bits, which choose the
	// shard; names often differ in the last byte only.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seconds converts a number of seconds.
func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// Preference orders the instances that may lend a rate shard: the highest is
// the first to campaign. The order differs between shards.
func Preference(shard int, instance string) uint64 {
	return hashOf(strconv.Itoa(shard) + "/" + instance)
}
