package jobkeeper

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// maxItemIDBytes limits the ID of an item, which backend servers get in a header field.
const maxItemIDBytes = 256

// fitsKeys reports whether the ID of a job fits into the keys of the store.
func (k *Keeper) fitsKeys(job string) bool {
	// The keys of parts and segments end with a number, for which a few digits are left.
	const maxDigits = 4
	longest := max(len(k.key(segmentPrefix(job)))+maxDigits, len(k.cfg.EndPrefix+job))
	return longest <= storer.MaxKeyBytes
}

// mayExist reports whether a job can be in the store. Earlier builds accepted IDs that leave
// no room for the numbers of all segments.
func (k *Keeper) mayExist(job string) bool { return len(k.key(recordKey(job))) <= storer.MaxKeyBytes }

// checkManifest returns the refusal of a job that cannot be stored, or of which an item
// could never run or be listed; nil if there is none.
func (k *Keeper) checkManifest(m Manifest) *refuser.Refusal {
	if !k.fitsKeys(m.Job) {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the ID of the job is too long")
	}
	positions := make(map[string]int, len(m.Items))
	for n, item := range m.Items {
		reason := item.invalidReason()
		if first, repeated := positions[item.ID]; repeated && reason == "" {
			reason = fmt.Sprintf("its ID is that of item %d", first)
		}
		if reason != "" {
			return refuser.New(refuser.BadRequest, refuser.NotRun, fmt.Sprintf("item %d: %s", n+1, reason))
		}
		positions[item.ID] = n + 1
	}
	return nil
}

// invalidReason returns why no backend server would get the item as it is; empty if there
// is no reason.
func (i Item) invalidReason() string {
	switch {
	case i.ID == "":
		return "it has no ID"
	case len(i.ID) > maxItemIDBytes:
		return fmt.Sprintf("its ID is longer than %d bytes", maxItemIDBytes)
	case !isVisible(i.ID):
		return "its ID has spaces or control characters"
	case !strings.HasPrefix(i.Target, "/") || !isVisible(i.Target):
		return "its path does not begin with a slash, or has spaces or control characters"
	}
	for _, f := range i.Header {
		if !httpguts.ValidHeaderFieldName(f.Name) || !httpguts.ValidHeaderFieldValue(f.Value) {
			return "one of its header fields has an invalid name or value"
		}
	}
	return ""
}

// isVisible reports whether a text has no spaces and no control characters.
func isVisible(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r <= ' ' || r == '\x7f' })
}

// Refuse refuses a job whose items were not looked at, unless it was accepted before; then
// it returns nil.
func (k *Keeper) Refuse(ctx context.Context, m Manifest, refusal *refuser.Refusal) *refuser.Refusal {
	if j, ok := k.owned(m.Job); ok {
		return checkSameWorkspace(j.manifest.Workspace, m.Workspace)
	}
	return k.refuseUnlessAccepted(ctx, m, refusal)
}

// refuseUnlessAccepted refuses a job, unless an earlier build has accepted it.
func (k *Keeper) refuseUnlessAccepted(ctx context.Context, m Manifest, refusal *refuser.Refusal) *refuser.Refusal {
	if !k.mayExist(m.Job) {
		return refusal
	}
	known, _, err := k.readRecord(ctx, m.Job)
	switch {
	case err == nil:
		return checkSameWorkspace(known.Workspace, m.Workspace)
	case errors.Is(err, storer.ErrNotFound):
		return refusal
	}
	k.log(m.Job).WithError(err).Warn("failed to look for a job that is invalid now")
	return refuser.New(refuser.InDoubt, refuser.Unknown, "it is unknown whether the job was accepted")
}
