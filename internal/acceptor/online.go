package acceptor

import (
	"net/url"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/quetzalhitch/quetzalhitch/internal/dispatcher"
	"github.com/quetzalhitch/quetzalhitch/internal/registrar"
	"github.com/quetzalhitch/quetzalhitch/internal/retrier"
	"github.com/quetzalhitch/quetzalhitch/internal/sender"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
	"github.com/quetzalhitch/quetzalhitch/pkg/refuser"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRoute          = "X-Route"
	servicesPrefix       = "/services/"
	// maxIdempotencyKeyBytes bounds the storage that the platform needs per key.
	maxIdempotencyKeyBytes = 256
)

// serviceMethods are the methods that are forwarded to plain services.
var serviceMethods = []string{
	fiber.MethodDelete,
	fiber.MethodGet,
	fiber.MethodHead,
	fiber.MethodPatch,
	fiber.MethodPost,
	fiber.MethodPut,
}

// handleCompletion serves chat completions and completions.
func (a *Acceptor) handleCompletion(c fiber.Ctx) error {
	q, refusal := newRequest(c)
	if refusal != nil {
		return refusal
	}
	completion, refusal := a.parseCompletion(q.Body)
	if refusal != nil {
		return refusal
	}
	q.Path = string(c.Request().URI().PathOriginal())
	q.Prefix, q.Stream = completion.Prefix, completion.Stream
	route, refusal := a.completionRoute(c.Get(headerRoute), completion.Model)
	for _, part := range completion.SharedParts {
		q.Parts = append(q.Parts, retrier.DigestPart(registrar.PoolName(route), part))
	}
	return a.authorise(c, q, route, refusal)
}

// parseCompletion parses a body when there is room for it in the budget of the process.
func (a *Acceptor) parseCompletion(body []byte) (completion Completion, refusal *refuser.Refusal) {
	end, err := a.cfg.Gate.Budget.BeginProcessing(a.baseContext, len(body))
	if err != nil {
		return completion, overloaded()
	}
	defer end()
	return ParseCompletion(body)
}

// completionRoute returns the route named by the header, or else the first route
// of the model. A named route must serve the model in the body.
func (a *Acceptor) completionRoute(name, model string) (declarer.Route, *refuser.Refusal) {
	table := a.cfg.Routes.Routes()
	route, ok := table.ByModel(model)
	if name != "" {
		route, ok = table.ByName(name)
		ok = ok && route.Model != ""
	}
	switch {
	case !ok:
		return route, a.routeNotFound()
	case model != "" && route.Model != model:
		return route, badRequest("the route leads to another model than the body names")
	default:
		return route, nil
	}
}

func (a *Acceptor) routeNotFound() *refuser.Refusal {
	if a.cfg.Routes.Routes().Len() == 0 {
		return refuser.New(refuser.NotConfigured, refuser.NotRun, "the instance has no configuration yet")
	}
	return refuser.New(refuser.RouteNotFound, refuser.NotRun, "no route leads to the model or service")
}

// handleService serves /services/<route>/<path>.
func (a *Acceptor) handleService(c fiber.Ctx) error {
	if !slices.Contains(serviceMethods, c.Method()) {
		return refuser.New(refuser.MethodNotAllowed, refuser.NotRun, "the method is not allowed for services")
	}
	q, refusal := newRequest(c)
	if refusal != nil {
		return refusal
	}
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), servicesPrefix)
	name, rest, _ := strings.Cut(path, "/")
	q.Path = "/" + rest
	if refusal := checkTarget(q.Path, q.Query); refusal != nil {
		return refusal
	}
	if len(q.Body) > 0 && (q.Method == fiber.MethodGet || q.Method == fiber.MethodHead) {
		return badRequest("a request with this method has no body")
	}
	route, ok := a.cfg.Routes.Routes().ByName(name)
	if !ok || route.Service == "" {
		return a.authorise(c, q, route, a.routeNotFound())
	}
	return a.authorise(c, q, route, nil)
}

// checkTarget refuses paths with dot segments, which a service could resolve to
// another path, and text that is not valid UTF-8.
func checkTarget(path, query string) *refuser.Refusal {
	plain, err := url.PathUnescape(path)
	if err != nil || !utf8.ValidString(plain) {
		return badRequest("the path is not valid UTF-8")
	}
	for segment := range strings.SplitSeq(plain, "/") {
		if segment == "." || segment == ".." {
			return badRequest("the path contains . or ..")
		}
	}
	for _, value := range sender.QueryValues(query) {
		if !utf8.ValidString(value) {
			return badRequest("the query is not valid UTF-8")
		}
	}
	return nil
}

// newRequest copies the request out of fiber's buffers, which are reused once
// the handler returns.
func newRequest(c fiber.Ctx) (q dispatcher.Request, refusal *refuser.Refusal) {
	r := c.Request()
	if len(r.Header.ContentEncoding()) > 0 {
		return q, badRequest("encoded bodies are not accepted")
	}
	q = dispatcher.Request{
		ID:             uuid.NewString(), // Not the caller's X-Request-Id, which could hold its key and must not be logged.
		Method:         strings.Clone(c.Method()),
		Query:          string(r.URI().QueryString()),
		Body:           r.Body(), // Not a buffer of the server, see readBody.
		IdempotencyKey: string(r.Header.Peek(headerIdempotencyKey)),
	}
	for name, value := range r.Header.All() {
		q.Header = append(q.Header, sender.Field{Name: string(name), Value: string(value)})
	}
	return q, checkIdempotencyKey(q.IdempotencyKey)
}

func checkIdempotencyKey(key string) *refuser.Refusal {
	if len(key) > maxIdempotencyKeyBytes {
		return badRequest("the idempotency key is longer than 256 bytes")
	}
	for _, b := range []byte(key) {
		if b < 0x21 || b > 0x7e {
			return badRequest("the idempotency key holds other characters than visible ASCII")
		}
	}
	return nil
}

// authorise checks the key and dispatches the request. The key is checked before
// the route is refused, so that callers without a key cannot find out which
// routes exist.
func (a *Acceptor) authorise(c fiber.Ctx, q dispatcher.Request, route declarer.Route, routeRefusal *refuser.Refusal) error {
	creds, refusal := a.credentials(c)
	if refusal != nil {
		return refusal
	}
	if !route.Open {
		if refusal := creds.Refusal(); refusal != nil {
			return refusal
		}
	}
	if routeRefusal != nil {
		return routeRefusal
	}
	q.Route = route
	q.Keys = creds.Secrets
	if !route.Open {
		q.Workspace = creds.Identity.Workspace
	}
	return a.dispatchRequest(c, q, creds)
}
