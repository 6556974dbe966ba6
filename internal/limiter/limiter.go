// Package limiter is a distributed rate limiter. It enforces a rate limit for
// each workspace across the whole fleet, and a limit on the batch items that
// run on each engine.
//
// Workspaces are spread over rate shards. The lender of a shard keeps a pool of
// tokens for each of its workspaces and lends them to the entries under
// contracts. A part of each rate, the standing share, is divided among standing
// slots; the holder of a slot spends its part without asking the lender. At
// every moment
//
//	free tokens + lent tokens + standing tokens <= burst,
//
// where a lent token counts until its borrower reports it as used or returned,
// or until the contract expires by the lender's clock. Tokens are added only at
// the workspace's rate. So the admissions in any window T are at most
// burst + rate*T. Batch permits of an engine are lent in the same way, but they
// are returned after use.
//
// The package makes decisions and does no I/O. Package leaser connects it to
// the platform's key-value service and to the links between instances.
package limiter

import (
	"hash/fnv"
	"strconv"
	"time"
)

// Durations of contracts and of messages about them.
const (
	// ContractTerm is how long a borrower may use what it holds, counted from
	// the sending of the last lender request that was answered.
	ContractTerm = 5 * time.Second
	// ContractMargin is how much longer the lender counts it as lent. It
	// covers clock drift and the time to stop a batch item.
	ContractMargin = 500 * time.Millisecond
	// LenderTimeout bounds how long a request waits for an answer of the
	// lender. Tokens lent to waiting requests are not used after it.
	LenderTimeout = 250 * time.Millisecond
	// HandOverTimeout bounds how long a leaving lender takes to hand a shard
	// over. Meanwhile requests wait for the successor, each for LenderTimeout
	// at most.
	HandOverTimeout = time.Second
	// PrefetchPeriod is the interval at which borrowers adjust what they hold
	// to demand.
	PrefetchPeriod = 250 * time.Millisecond
	// MaxContractLifetime is the time after which nothing lent before can
	// still be in use, by any instance's clock.
	MaxContractLifetime = ContractTerm + ContractMargin
)

// tokenEpsilon absorbs rounding errors when fractions of tokens are added up.
const tokenEpsilon = 1e-9

// A Clock provides the current time. Times are only compared and subtracted.
type Clock interface {
	Now() time.Time
}

// A Reason says why a request was admitted or refused.
type Reason string

// The reasons of decisions.
const (
	ReasonBorrowed          Reason = "borrowed"           // Admitted with a token borrowed ahead of demand.
	ReasonCancelled         Reason = "cancelled"          // The caller cancelled the request while it waited.
	ReasonExceeded          Reason = "rate-exceeded"      // The lender had no free token.
	ReasonLenderUnreachable Reason = "lender-unreachable" // No token is held, and the lender did not answer.
	ReasonLent              Reason = "lent"               // Admitted with a token lent for this request.
	ReasonNoLender          Reason = "no-lender"          // No token is held, and no lender is known.
	ReasonStanding          Reason = "standing"           // Admitted with a token of the standing share.
	ReasonUnknownWorkspace  Reason = "unknown-workspace"  // The workspace is not declared.
)

// A Decision says whether a request may run.
type Decision struct {
	Admitted   bool
	Reason     Reason
	RetryAfter time.Duration // Until a token may be available, if refused; zero when unknown.
}

// WorkspaceSubject is the subject of the contracts for a workspace's rate.
func WorkspaceSubject(workspace string) string {
	return "workspace/" + workspace
}

// EngineSubject is the subject of the contracts for an engine's permits.
func EngineSubject(server string) string {
	return "engine/" + server
}

// ShardOf returns the rate shard of a subject. The result is the same on all
// instances.
func ShardOf(subject string, shards int) int {
	return int(stableHash(subject) % uint64(max(1, shards)))
}

// stableHash returns a hash that is the same in all processes.
func stableHash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	// FNV mixes the last bytes poorly into the low bits, which select the
	// shard; names often differ only in the last byte.
	sum := h.Sum64()
	sum ^= sum >> 32
	sum *= 0x9e3779b97f4a7c15
	return sum ^ sum>>29
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seconds converts a number of seconds to a Duration.
func seconds(n float64) time.Duration {
	return time.Duration(n * float64(time.Second))
}

// CampaignPriority is the priority of an instance as a lender of a rate
// shard: the instance with the highest one campaigns first. The order differs
// between shards.
func CampaignPriority(shard int, instance string) uint64 {
	return stableHash(strconv.Itoa(shard) + "/" + instance)
}
