package platformemulator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/quetzalhitch/quetzalhitch/internal/storer"
)

// Paths of the control API. Faults do not affect it, except that OutageRefuse
// closes its port.
const (
	PathFault = "/fault"
	PathStats = "/stats"
)

// routeControls registers the handlers of the control API.
func (s *Server) routeControls(app *fiber.App) {
	app.Get(PathFault, func(c fiber.Ctx) error { return c.JSON(s.Faults()) })
	app.Post(PathFault, s.setFaults)
	app.Get(PathStats, func(c fiber.Ctx) error { return c.JSON(s.Stats()) })
	app.Put(storer.PathInstances+"/:id", s.putInstance)
	app.Delete(storer.PathInstances+"/:id", s.deleteInstance)
}

// setFaults replaces the faults with those in the body.
func (s *Server) setFaults(c fiber.Ctx) error {
	var f Faults
	decoder := json.NewDecoder(bytes.NewReader(c.Body()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		return respondBadRequest(c, err)
	}
	if f.Outage == OutageRefuse && s.controlListener == nil {
		return respondBadRequest(c, merry.New("an outage that closes the port needs a control address to end it"))
	}
	if err := s.SetFaults(f); err != nil {
		return respondBadRequest(c, err)
	}
	return c.JSON(s.Faults())
}

func (s *Server) putInstance(c fiber.Ctx) error {
	id, err := url.PathUnescape(c.Params("id"))
	if err != nil {
		return respondBadRequest(c, err)
	}
	var instance storer.ListedInstance
	if err := json.Unmarshal(c.Body(), &instance); err != nil {
		return respondBadRequest(c, err)
	}
	instance.ID = id
	s.SetInstance(instance)
	return c.JSON(instance)
}

func (s *Server) deleteInstance(c fiber.Ctx) error {
	id, err := url.PathUnescape(c.Params("id"))
	if err != nil {
		return respondBadRequest(c, err)
	}
	s.RemoveInstance(id)
	return c.SendStatus(http.StatusOK)
}

func respondBadRequest(c fiber.Ctx, err error) error {
	return respondError(c, merry.Prepend(storer.ErrRefused, err.Error()))
}
