package acceptor

import (
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/authenticator"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

// minSecretBytes is the length from which a presented credential that is no
// known key is searched for in the request. Shorter ones occur in texts by
// chance, and no key is that short.
const minSecretBytes = 8

// Credentials are what a caller presents with one request.
type Credentials struct {
	Key      string // Empty if there is none.
	Identity authenticator.Identity
	Verdict  authenticator.Verdict
	Secrets  []string // What must not reach a backend server.
}

// Refusal is why the credentials do not suffice for a route that needs a key,
// or nil.
func (c Credentials) Refusal() *refuser.Refusal {
	switch {
	case c.Key == "":
		return refuser.New(refuser.KeyMissing, refuser.NotRun, "a key is needed in Authorization: Bearer or X-Api-Key")
	case c.Verdict == authenticator.Withdrawn:
		return refuser.New(refuser.KeyWithdrawn, refuser.NotRun, "the key was withdrawn")
	case c.Verdict == authenticator.Unknown:
		return refuser.New(refuser.KeyUnknown, refuser.NotRun, "the key is not known")
	default:
		return nil
	}
}

// PresentedKey is the key in Authorization or X-Api-Key. Two different keys are
// refused, because it would not be clear for whom the request runs.
func PresentedKey(c fiber.Ctx) (string, *refuser.Refusal) {
	header := &c.Request().Header
	key := ""
	for _, value := range presented(header) {
		if key != "" && key != value {
			return "", refuser.New(refuser.BadRequest, refuser.NotRun, "the request presents two different keys")
		}
		key = value
	}
	return key, nil
}

func presented(header *fasthttp.RequestHeader) []string {
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

// credentials finds the identity of the caller, and the keys that came in
// other places.
func (a *Acceptor) credentials(c fiber.Ctx) (Credentials, *refuser.Refusal) {
	key, refusal := PresentedKey(c)
	if refusal != nil {
		return Credentials{}, refusal
	}
	creds := Credentials{Key: key}
	if key != "" {
		creds.Identity, creds.Verdict = a.cfg.Authenticator.Lookup(key)
	}
	if len(key) >= minSecretBytes || creds.Verdict != authenticator.Unknown {
		creds.Secrets = append(creds.Secrets, key)
	}
	for _, value := range otherPlaces(c.Request()) {
		if a.isKey(value) {
			creds.Secrets = append(creds.Secrets, value)
		}
	}
	return creds, nil
}

// isKey reports whether the value is a key of the deployment, now or before.
func (a *Acceptor) isKey(value string) bool {
	if value == "" {
		return false
	}
	_, verdict := a.cfg.Authenticator.Lookup(value)
	return verdict != authenticator.Unknown || a.cfg.Authenticator.Operator(value)
}

// otherPlaces are the values in which callers put keys by mistake: query
// parameters, cookies and header fields.
func otherPlaces(r *fasthttp.Request) []string {
	values := sender.QueryValues(string(r.URI().QueryString()))
	for _, value := range r.Header.Cookies() {
		values = append(values, string(value))
	}
	for _, value := range r.Header.All() {
		values = append(values, string(value))
	}
	return values
}
