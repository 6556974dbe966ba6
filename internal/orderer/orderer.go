// Package orderer speaks the engines' HTTP for placement: what an engine
// serves, and orders that change it.
package orderer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/valyala/fasthttp"

	"github.com/quetzalhitch/quetzalhitch/internal/placer"
	"github.com/quetzalhitch/quetzalhitch/pkg/declarer"
)

const (
	ordersPath = "/orders"
	// observeTimeout bounds the question what an engine serves.
	observeTimeout = time.Second
	// maxResponseBytes is more than an engine's list of models needs.
	maxResponseBytes = 1 << 20
)

// ErrRefused means that the engine refused an order.
var ErrRefused = merry.Sentinel("the engine refused the order")

// An orderBody is the body of POST /orders.
type orderBody struct {
	Kind          placer.OrderKind `json:"kind"`
	Model         string           `json:"model"`
	Version       string           `json:"version,omitempty"`
	Adapters      []string         `json:"adapters,omitempty"`
	FencingNumber int64            `json:"fencing-number"`
}

// A servedBody is the answer to GET /orders.
type servedBody struct {
	Loaded []placer.LoadedModel `json:"loaded"`
}

// An Orderer reaches engines over HTTP. Each call has its own connection: the
// calls are rare, and a pooled connection may be silent.
type Orderer struct {
	client *fasthttp.Client
}

// New returns an Orderer.
func New() *Orderer {
	return &Orderer{client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
	}}
}

// Observe asks an engine what it serves.
func (o *Orderer) Observe(ctx context.Context, server declarer.BackendServer) (observed placer.Observation, err error) {
	defer func() { err = merry.Prependf(err, "observe engine %q", server.Name) }()

	var answer servedBody
	ctx, cancel := context.WithTimeout(ctx, observeTimeout)
	defer cancel()
	if err := o.do(ctx, http.MethodGet, server.Address, nil, &answer); err != nil {
		return placer.Observation{}, err
	}
	return placer.Observation{Server: server.Name, Models: answer.Loaded}, nil
}

// Give gives an order and waits until the engine carried it out.
func (o *Orderer) Give(ctx context.Context, order placer.Order) (err error) {
	defer func() { err = merry.Prependf(err, "order engine %q", order.Server.Name) }()

	body, err := json.Marshal(orderBody{
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
