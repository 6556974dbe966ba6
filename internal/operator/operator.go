// Package operator serves the operator HTTP API of an entry: release notes, keys
// and the status of the configuration.
package operator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/url"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/sirupsen/logrus"

	"github.com/quetzalhitch/quetzalhitch/internal/publisher"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/storer"
	"github.com/quetzalhitch/quetzalhitch/pkg/administrator"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	// keyPrefix makes leaked keys recognisable.
	keyPrefix = "qh-"
	// maxBodyBytes is the maximum size of the body of a call. The platform does not hold
	// larger configurations.
	maxBodyBytes = storer.MaxValueBytes
)

type configuration interface {
	Apply(ctx context.Context, note declarer.ReleaseNote, dryRun bool) (publisher.Result, error)
	Current() (s publisher.Snapshot, ok bool)
}

type roster interface {
	Instances() []registrar.Instance
}

type keys interface {
	Digest(key string) string
	IsOperatorKey(key string) bool
}

// A Config configures an Operator.
type Config struct {
	Configuration configuration
	Roster        roster
	Keys          keys
	Logger        logrus.FieldLogger
}

// An Operator handles the calls of operators.
type Operator struct {
	cfg      Config
	decoding sync.Mutex // Held while a release note is decoded, which takes many times its size.
}

// New returns an Operator.
func New(cfg Config) *Operator {
	return &Operator{cfg: cfg}
}

// Mount registers the handlers with the router of an entry.
func (o *Operator) Mount(router fiber.Router) {
	router.Post(administrator.PathApply, o.authorised(o.apply))
	router.Get(administrator.PathStatus, o.authorised(o.status))
	router.Post(administrator.PathKeys, o.authorised(o.grant))
	router.Delete(administrator.PathKeys+"/:name", o.authorised(o.withdraw))
}

// authorised rejects calls without a valid operator key.
func (o *Operator) authorised(next fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		scheme, key, _ := strings.Cut(c.Get(fiber.HeaderAuthorization), " ")
		if !strings.EqualFold(scheme, "Bearer") || !o.cfg.Keys.IsOperatorKey(key) {
			return refuser.New(refuser.OperatorKeyRequired, refuser.NotRun, "an operator key is needed in Authorization: Bearer")
		}
		if len(c.Request().Header.ContentEncoding()) > 0 { // fiber would decode the body, to any size.
			return refuser.New(refuser.BadRequest, refuser.NotRun, "encoded bodies are not accepted")
		}
		if len(c.Request().Body()) > maxBodyBytes {
			return refuser.New(refuser.BodyTooLarge, refuser.NotRun, "the body is larger than a configuration may be")
		}
		return next(c)
	}
}

func (o *Operator) apply(c fiber.Ctx) error {
	file := strings.Clone(c.Query(administrator.ParamFile, "release note"))
	note, faults := o.parseNote(file, c.Request().Body())
	if len(faults) > 0 {
		return o.writeError(c, administrator.ApplyAnswer{}, &declarer.FaultsError{Faults: faults})
	}
	answer, err := o.applyNote(c.Context(), note, c.Query(administrator.ParamDryRun) == "true")
	if err != nil {
		return o.writeError(c, answer, err)
	}
	return c.JSON(answer)
}

func (o *Operator) parseNote(file string, text []byte) (declarer.ReleaseNote, []declarer.Fault) {
	o.decoding.Lock()
	defer o.decoding.Unlock()
	return declarer.ParseReleaseNote(file, text)
}

func (o *Operator) status(c fiber.Ctx) error {
	s, _ := o.cfg.Configuration.Current()
	return c.JSON(administrator.StatusAnswer{
		Revision:  s.Revision,
		ApplyID:   s.ApplyID,
		Title:     s.Title,
		Instances: o.instances(s.Revision),
	})
}

func (o *Operator) grant(c fiber.Ctx) error {
	var r administrator.GrantRequest
	if err := json.Unmarshal(c.Request().Body(), &r); err != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the body is not a JSON object with name and workspace")
	}
	key := keyPrefix + rand.Text()
	note := declarer.ReleaseNote{Title: "key " + r.Name + " granted"}
	note.Added.Keys = []declarer.Key{{Name: r.Name, Workspace: r.Workspace, Digest: o.cfg.Keys.Digest(key)}}
	answer, err := o.applyNote(c.Context(), note, false)
	if err != nil {
		return o.writeError(c, answer, err)
	}
	return c.JSON(administrator.GrantAnswer{ApplyAnswer: answer, Key: key})
}

func (o *Operator) withdraw(c fiber.Ctx) error {
	name, err := url.PathUnescape(strings.Clone(c.Params("name")))
	if err != nil {
		return refuser.New(refuser.BadRequest, refuser.NotRun, "the name of the key is not escaped correctly")
	}
	note := declarer.ReleaseNote{Title: "key " + name + " withdrawn"}
	note.Withdrawn.Keys = []string{name}
	answer, err := o.applyNote(c.Context(), note, false)
	if err != nil {
		return o.writeError(c, answer, err)
	}
	return c.JSON(answer)
}

func (o *Operator) applyNote(ctx context.Context, note declarer.ReleaseNote, dryRun bool) (answer administrator.ApplyAnswer, err error) {
	result, err := o.cfg.Configuration.Apply(ctx, note, dryRun)
	if err != nil {
		o.cfg.Logger.WithError(err).WithField("title", note.Title).Warn("release note not accepted")
		return administrator.ApplyAnswer{Revision: result.Revision, ApplyID: result.ApplyID}, err
	}
	answer = administrator.ApplyAnswer{
		Revision: result.Revision,
		ApplyID:  result.ApplyID,
		DryRun:   result.DryRun,
		Changes:  result.Changes,
	}
	if !dryRun {
		answer.Instances = o.instances(result.Revision)
	}
	return answer, nil
}

// instances lists the known entries. Only a revision that an instance reported
// itself counts as confirmed.
func (o *Operator) instances(revision int64) (list []administrator.Instance) {
	for _, i := range o.cfg.Roster.Instances() {
		list = append(list, administrator.Instance{
			ID:            i.ID,
			FailureDomain: i.FailureDomain,
			Revision:      i.Revision,
			Confirmed:     revision > 0 && i.Revision >= revision,
		})
	}
	return list
}

// writeError answers a failed call. For an apply in doubt, the answer contains
// the revision and the apply ID, so that the operator can compare them with the
// status.
func (o *Operator) writeError(c fiber.Ctx, attempted administrator.ApplyAnswer, err error) error {
	refusal := refusalOf(err)
	answer := administrator.ErrorAnswer{
		Error: administrator.ErrorDetail{
			Code:    refusal.Code,
			Message: refusal.Message,
			Outcome: refusal.Outcome,
		},
		Revision: attempted.Revision,
		ApplyID:  attempted.ApplyID,
	}
	var faults *declarer.FaultsError
	if errors.As(err, &faults) {
		answer.Faults = faults.Faults
	}
	return c.Status(refusal.Status).JSON(answer)
}

func refusalOf(err error) *refuser.Refusal {
	var faults *declarer.FaultsError
	switch {
	case errors.As(err, &faults):
		return refuser.New(refuser.DeclarationRefused, refuser.NotRun, "the release note has faults")
	case errors.Is(err, publisher.ErrInDoubt):
		return refuser.New(refuser.ApplyInDoubt, refuser.Unknown, "it is not known whether the release note was accepted; see the status")
	case errors.Is(err, publisher.ErrTooManyConflicts):
		return refuser.New(refuser.ApplyRaced, refuser.NotRun, "other release notes were accepted first")
	case errors.Is(err, publisher.ErrHeadBehind):
		return refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the platform is behind the configuration in force")
	case errors.Is(err, storer.ErrUnavailable), errors.Is(err, storer.ErrUnknownEffect), errors.Is(err, context.DeadlineExceeded):
		return refuser.New(refuser.PlatformUnavailable, refuser.NotRun, "the platform does not answer")
	default:
		return refuser.New(refuser.Internal, refuser.NotRun, merry.UserMessage(err))
	}
}
