package limiter

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// renewAhead is the remaining term at which a borrower renews a contract
// under which it holds something. It leaves time for several attempts.
const renewAhead = ContractTerm / 2

// A holding is the borrower's state of a contract. Amount is what the
// borrower can still use. ExpiresAt is measured by this process's monotonic
// clock from before the last answered lender request was sent, so it is never
// later than the lender's.
type holding struct {
	registrar.Contract
	ID       uint64 // Zero until the lender has opened the contract.
	Sequence uint64 // Of the last lender request sent.
	Answered uint64 // Of the last lender request answered.
	Spent    int64
	uses     usage

	// lenderAmount is what counts as lent according to the lender's last
	// answer.
	lenderAmount int
}

// newContract returns a contract that is not open yet.
func newContract(subject, lender, borrower string) registrar.Contract {
	return registrar.Contract{Subject: subject, Lender: lender, Borrower: borrower}
}

// active reports whether the contract is open and has not expired.
func (h *holding) active(now time.Time) bool {
	return h.ID != 0 && now.Before(h.ExpiresAt)
}

// spend uses a token, if one is held.
func (h *holding) spend(now time.Time) bool {
	if h.Amount <= 0 || !h.active(now) {
		return false
	}
	h.Amount--
	h.countUse(now)
	return true
}

// countUse counts a token of the contract as used.
func (h *holding) countUse(now time.Time) {
	h.Spent++
	h.uses.add(now)
}

// unreported reports whether the lender counts more as lent than is held.
func (h *holding) unreported() bool {
	return h.ID != 0 && h.lenderAmount != h.Amount
}

// renewalDue reports whether the contract has to be renewed to keep what is
// held.
func (h *holding) renewalDue(now time.Time) bool {
	return h.Amount > 0 && h.ExpiresAt.Sub(now) < renewAhead
}

// newRequest returns a lender request with the borrower's state of the
// contract. Answers to earlier requests are ignored from now on.
func (h *holding) newRequest(subject string, now time.Time) LenderRequest {
	h.Sequence++
	return LenderRequest{
		Subject:  subject,
		Epoch:    h.Epoch,
		Contract: h.ID,
		Sequence: h.Sequence,
		Answered: h.Answered,
		Spent:    h.Spent,
		Held:     h.Amount,
		Uses:     h.uses.report(now),
	}
}

// applyGrant applies the grant for a pending request.
func (h *holding) applyGrant(pending *pendingRequest, g Grant) {
	if pending.request.Contract == 0 {
		h.ID = g.Contract
		h.Epoch = g.Epoch
	}
	if g.Renewed {
		h.ExpiresAt = pending.sentAt.Add(ContractTerm)
	}
	h.Answered = pending.request.Sequence
	h.Amount += g.Ahead
	h.lenderAmount = pending.request.Held + g.AtOnce + g.Ahead
	h.uses.keepLatest(int(h.Spent - pending.request.Spent))
}

// A usage records when the latest tokens were used, in up to maxUseGroups
// groups.
type usage struct {
	groups [maxUseGroups]useGroup
	n      int
}

// A useGroup is a number of tokens used between two times.
type useGroup struct {
	first, last time.Time
	count       int
}

const (
	maxUseGroups = 4
	useGroupSpan = 10 * time.Millisecond // Uses within this time share a group.
)

// add records a use. When all groups are taken the two oldest are merged: a
// use may be reported as later than it was, but never as earlier.
func (u *usage) add(now time.Time) {
	if u.n > 0 && now.Sub(u.groups[u.n-1].first) < useGroupSpan {
		u.groups[u.n-1].last = now
		u.groups[u.n-1].count++
		return
	}
	if u.n == maxUseGroups {
		u.groups[1].count += u.groups[0].count
		copy(u.groups[:], u.groups[1:])
		u.n--
	}
	u.groups[u.n] = useGroup{first: now, last: now, count: 1}
	u.n++
}

// keepLatest removes all but the latest count uses.
func (u *usage) keepLatest(count int) {
	from := u.n
	for from > 0 && count > 0 {
		from--
		u.groups[from].count = min(u.groups[from].count, count)
		count -= u.groups[from].count
	}
	copy(u.groups[:], u.groups[from:u.n])
	u.n -= from
}

// report lists the uses with their ages.
func (u *usage) report(now time.Time) []Use {
	var uses []Use
	for _, group := range u.groups[:u.n] {
		uses = append(uses, Use{Age: now.Sub(group.last), Count: group.count})
	}
	return uses
}
