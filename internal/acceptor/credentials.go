package acceptor

import (
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// minSecretBytes is the length from which an unknown key is treated as a secret
// that must not occur in the rest of the request. Shorter strings occur in texts
// by chance, and no key is that short.
const minSecretBytes = 8

// Credentials are the keys that a caller presents with a request.
type Credentials struct {
	Key       string // Empty if the request has none.
	Identity  authenticator.Identity
	KeyStatus authenticator.KeyStatus
	Secrets   []string // Keys that must not reach a backend server.
}

// Refusal returns why the credentials are not valid for a route that requires a
// key, or nil.
func (c Credentials) Refusal() *refuser.Refusal {
	switch {
	case c.Key == "":
		return refuser.New(refuser.KeyMissing, refuser.NotRun, "a key is needed in Authorization: Bearer or X-Api-Key")
	case c.KeyStatus == authenticator.Withdrawn:
		return refuser.New(refuser.KeyWithdrawn, refuser.NotRun, "the key was withdrawn")
	case c.KeyStatus == authenticator.Unknown:
		return refuser.New(refuser.KeyUnknown, refuser.NotRun, "the key is not known")
	default:
		return nil
	}
}

// PresentedKey returns the key in Authorization or X-Api-Key. Two different keys
// are refused, because the workspace of the request would be ambiguous.
func PresentedKey(c fiber.Ctx) (string, *refuser.Refusal) {
	header := &c.Request().Header
	key := ""
	for _, value := range presentedKeys(header) {
		if key != "" && key != value {
			return "", refuser.New(refuser.BadRequest, refuser.NotRun, "the request presents two different keys")
		}
		key = value
	}
	return key, nil
}

func presentedKeys(header *fasthttp.RequestHeader) []string {
	var keys []string
	for _, value := range header.PeekAll(fiber.HeaderAuthorization) {
		scheme, key, ok := strings.Cut(string(value), " ")
		if ok && strings.EqualFold(scheme, "Bearer") {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	for _, value := range header.PeekAll("X-Api-Key") {
		keys = append(keys, strings.TrimSpace(string(value)))
	}
	return keys
}

// credentials looks up the identity of the caller and collects the keys that
// occur elsewhere in the request.
func (a *Acceptor) credentials(c fiber.Ctx) (Credentials, *refuser.Refusal) {
	key, refusal := PresentedKey(c)
	if refusal != nil {
		return Credentials{}, refusal
	}
	creds := Credentials{Key: key}
	if key != "" {
		creds.Identity, creds.KeyStatus = a.cfg.Authenticator.Lookup(key)
	}
	if len(key) >= minSecretBytes || creds.KeyStatus != authenticator.Unknown {
		creds.Secrets = append(creds.Secrets, key)
	}
	for _, value := range misplacedKeyCandidates(c.Request()) {
		if a.isKey(value) {
			creds.Secrets = append(creds.Secrets, value)
		}
	}
	return creds, nil
}

// isKey reports whether the value is a valid or withdrawn key of a workspace, or
// an operator's key.
func (a *Acceptor) isKey(value string) bool {
	if value == "" {
		return false
	}
	_, keyStatus := a.cfg.Authenticator.Lookup(value)
	return keyStatus != authenticator.Unknown || a.cfg.Authenticator.IsOperatorKey(value)
}

// misplacedKeyCandidates returns the values that may hold a key by mistake: query
// parameters, cookies and header fields.
func misplacedKeyCandidates(r *fasthttp.Request) []string {
	values := sender.QueryValues(string(r.URI().QueryString()))
	for _, value := range r.Header.Cookies() {
		values = append(values, string(value))
	}
	for _, value := range r.Header.All() {
		values = append(values, string(value))
	}
	return values
}
