package leaser

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"github.com/quetzalhitch/quetzalhitch/internal/limiter"
	"github.com/quetzalhitch/quetzalhitch/internal/linker"
)

// A HandlerSet registers handlers of messages.
type HandlerSet interface {
	Handle(kind linker.Kind, h linker.Handler)
}

// Register registers the handlers of `borrow`, `return`, `promise`, `pledge` and
// `hand-over`.
func (l *Leaser) Register(s HandlerSet) {
	s.Handle(linker.KindBorrow, borrowHandler{lender: l.lender})
	s.Handle(linker.KindReturn, borrowHandler{lender: l.lender})
	s.Handle(linker.KindPromise, promiseHandler{leaser: l})
	s.Handle(linker.KindPledge, pledgeHandler{slot: l.slot})
	s.Handle(linker.KindHandOver, handOverHandler{leaser: l})
}

// Borrow sends a batch to its lender, which may be this instance. It
// implements limiter.LenderCaller.
func (l *Leaser) Borrow(ctx context.Context, b *limiter.Batch) (answer limiter.BorrowAnswer, err error) {
	if b.Lender == l.cfg.InstanceID {
		return l.lender.Lend(l.cfg.InstanceID, b.Message), nil
	}
	kind := linker.KindReturn
	if b.Borrows() {
		kind = linker.KindBorrow
	}
	err = l.cfg.Caller.Call(ctx, b.Lender, kind, b.Message, &answer)
	if errors.Is(err, linker.ErrUnreachable) || errors.Is(err, linker.ErrTooLarge) {
		err = merry.Wrap(limiter.ErrNotSent, merry.WithCause(err))
	}
	return answer, err
}

// A borrowHandler answers `borrow` and `return`.
type borrowHandler struct {
	lender *limiter.Lender
}

// Handle implements linker.Handler.
func (h borrowHandler) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prepend(err, "lend") }()

	var request limiter.BorrowRequest
	if err := linker.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return linker.Marshal(h.lender.Lend(sender, request))
}

// A promiseHandler answers `promise`.
type promiseHandler struct {
	leaser *Leaser
}

// Handle implements linker.Handler.
func (h promiseHandler) Handle(_ context.Context, sender string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prepend(err, "promise") }()

	var request PromiseRequest
	if err := linker.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	m := h.leaser.shard(request.Shard)
	return linker.Marshal(PromiseAnswer{Promised: m != nil && m.promise(sender, request)})
}

// A pledgeHandler answers `pledge`.
type pledgeHandler struct {
	slot *slotManager
}

// Handle implements linker.Handler.
func (h pledgeHandler) Handle(_ context.Context, _ string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prepend(err, "pledge") }()

	var request PledgeRequest
	if err := linker.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return linker.Marshal(PledgeAnswer{Pledged: h.slot.pledge(request.Slot)})
}

// A handOverHandler answers `hand-over`.
type handOverHandler struct {
	leaser *Leaser
}

// Handle implements linker.Handler.
func (h handOverHandler) Handle(ctx context.Context, _ string, payload []byte) (response []byte, err error) {
	defer func() { err = merry.Prepend(err, "take a rate shard over") }()

	var request limiter.HandOver
	if err := linker.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	return linker.Marshal(h.leaser.takeOver(ctx, request))
}
