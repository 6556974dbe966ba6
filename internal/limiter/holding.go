package limiter

import (
	"time"

	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
)

// renewAhead is the remaining term at which a borrower renews a contract
// under which it holds something. It leaves time for several tries.
const renewAhead = ContractTerm / 2

// A holding is a contract as its borrower keeps it. Amount is what the
// borrower can still use. ExpiresAt is counted by this process's monotonic
// clock from before the last answered ask was sent, so it is never later than
// the lender's view.
type holding struct {
	registrar.Contract
	ID       uint64 // Zero until the lender has opened the contract.
	Sequence uint64 // Of the last ask sent.
	Answered uint64 // Of the last ask answered.
	Spent    int64
	uses     usage

	// lenderAmount is what the lender counted as lent in its last answer.
	lenderAmount int
}

// newContract returns a contract that is not open yet.
func newContract(subject, lender, borrower string) registrar.Contract {
	return registrar.Contract{Subject: subject, Lender: lender, Borrower: borrower}
}

// live tells whether what is held may be used.
func (h *holding) live(now time.Time) bool {
	return h.ID != 0 && now.Before(h.ExpiresAt)
}

// spend uses a token, if one is held.
func (h *holding) spend(now time.Time) bool {
	if h.Amount <= 0 || !h.live(now) {
		return false
	}
	h.Amount--
	h.note(now)
	return true
}

// note counts a token of the contract as used.
func (h *holding) note(now time.Time) {
	h.Spent++
	h.uses.add(now)
}

// unreported tells whether the lender counts more as lent than is held.
func (h *holding) unreported() bool {
	return h.ID != 0 && h.lenderAmount != h.Amount
}

// renewalDue tells whether the contract has to be renewed to keep what is
// held.
func (h *holding) renewalDue(now time.Time) bool {
	return h.Amount > 0 && h.ExpiresAt.Sub(now) < renewAhead
}

// ask states this side of the contract. Answers to earlier asks are ignored
// from now on.
func (h *holding) ask(subject string, now time.Time) Ask {
	h.Sequence++
	return Ask{
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

// answered takes over the grant for a pending ask.
func (h *holding) answered(f *pendingAsk, g Grant) {
	if f.ask.Contract == 0 {
		h.ID = g.Contract
		h.Epoch = g.Epoch
	}
	if g.Renewed {
		h.ExpiresAt = f.sentAt.Add(ContractTerm)
	}
	h.Answered = f.ask.Sequence
	h.Amount += g.Ahead
	h.lenderAmount = f.ask.Held + g.AtOnce + g.Ahead
	h.uses.keep(int(h.Spent - f.ask.Spent))
}

// A usage remembers when the latest tokens were used, in a few groups.
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
	useGroupSpan = 10 * time.Millisecond // Uses closer than this share a group.
)

// add counts a use. When there is no room the two oldest groups are merged:
// the lender may take a use for later than it was, but never for earlier.
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

// keep forgets all but the latest count uses.
func (u *usage) keep(count int) {
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
