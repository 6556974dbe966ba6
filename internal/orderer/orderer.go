// Package orderer is the HTTP client for placement on engines: it reads the
// models that an engine serves and sends orders that change them.
package orderer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/headreader"
	"github.com/quetzalhitch/quetzalhitch/internal/placer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	ordersPath = "/orders"
	// observeTimeout bounds GET /orders.
	observeTimeout = time.Second
	// maxResponseBytes is far more than the list of an engine's models needs.
	maxResponseBytes = 1 << 20
)

// ErrRefused means that the engine answered with a status other than 200.
var ErrRefused = merry.Sentinel("the engine refused the request")

// An orderRequest is the request body of POST /orders.
type orderRequest struct {
	Kind          placer.OrderKind `json:"kind"`
	Model         string           `json:"model"`
	Version       string           `json:"version,omitempty"`
	Adapters      []string         `json:"adapters,omitempty"`
	FencingNumber int64            `json:"fencing-number"`
}

// A modelsResponse is the answer to GET /orders.
type modelsResponse struct {
	Loaded []placer.LoadedModel `json:"loaded"`
}

// An Orderer calls engines over HTTP. Each call has its own connection, since
// calls are rare and a pooled connection may be dead.
type Orderer struct {
	client *fasthttp.Client
}

// New returns an Orderer.
func New() *Orderer {
	return &Orderer{client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
		Dial:                      dial,
	}}
}

// dial connects to an engine. The heads of its responses are checked.
func dial(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return headreader.NewConn(c), nil
}

// Observe reads the models that an engine serves.
func (o *Orderer) Observe(ctx context.Context, server declarer.BackendServer) (observed placer.Observation, err error) {
	defer func() { err = merry.Prependf(err, "observe engine %q", server.Name) }()

	var answer modelsResponse
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if err := o.do(ctx, http.MethodGet, server.Address, nil, &answer); err != nil {
		return placer.Observation{}, err
	}
	return placer.Observation{Server: server.Name, Models: answer.Loaded}, nil
}

// Execute sends an order and waits until the engine has carried it out.
func (o *Orderer) Execute(ctx context.Context, order placer.Order) (err error) {
	defer func() { err = merry.Prependf(err, "send order to engine %q", order.Server.Name) }()

	body, err := json.Marshal(orderRequest{
		Kind:          order.Kind,
		Model:         order.Model.Name,
		Version:       order.Model.Version,
		Adapters:      order.Model.Adapters,
		FencingNumber: order.FencingNumber,
	})
	if err != nil {
		return err
	}
	return o.do(ctx, http.MethodPost, order.Server.Address, body, nil)
}

func (o *Orderer) do(ctx context.Context, method, address string, body []byte, answer any) (err error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)

	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + address + ordersPath)
	request.SetConnectionClose()
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(placer.DefaultOrderTimeout)
	}
	if err := o.client.DoDeadline(request, response, deadline); err != nil {
		return merry.Wrap(err)
	}
	if response.StatusCode() != http.StatusOK {
		return merry.Appendf(ErrRefused, "status %d", response.StatusCode())
	}
	if answer == nil {
		return nil
	}
	return merry.Wrap(json.Unmarshal(response.Body(), answer))
}
