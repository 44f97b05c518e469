package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"topazpulley/internal/failure"
)

// Readiness is the response body of /readyz.
type Readiness struct {
	Ready    bool   `json:"ready"`
	Revision int64  `json:"revision"`
	Reason   string `json:"reason,omitempty"`
}

func (g *Gateway) handleReady(call *fasthttp.RequestCtx) {
	current, _ := g.Holder.Current()
	readiness := Readiness{Ready: g.ready.Load() && !g.stop.HasBegun(), Revision: current.Number}
	if g.stop.HasBegun() {
		readiness.Reason = "stopping"
	}
	writeJSON(call, readiness)
	if !readiness.Ready {
		call.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Status is the response body of the operators' status page.
type Status struct {
	Daemon       string         `json:"daemon"`
	Zone         string         `json:"zone"`
	Region       string         `json:"region"`
	Ready        bool           `json:"ready"`
	Stopping     bool           `json:"stopping"`
	Revision     int64          `json:"revision"`
	Active       string         `json:"active"`
	CutOff       bool           `json:"cut_off"`
	PlatformUp   bool           `json:"platform_up"`
	InFlight     int64          `json:"in_flight"`
	HeldChunks   int            `json:"held_chunks"`
	PeersRefused uint64         `json:"peers_refused"`
	Duties       Duties         `json:"duties"`
	Members      []MemberStatus `json:"members"`
	Engines      []EngineStatus `json:"engines"`
}

// Duties lists the engines that this daemon supervises and describes its state as a
// coordinator.
type Duties struct {
	Engines     []string `json:"engines"`
	Coordinator string   `json:"coordinator"`
	Refused     uint64   `json:"-"`
}

// MemberStatus is one member as this daemon sees it.
type MemberStatus struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	State string `json:"state"`
}

// EngineStatus is one engine of the zone as this daemon sees it.
type EngineStatus struct {
	Name        string   `json:"name"`
	Service     string   `json:"service"`
	Up          bool     `json:"up"`
	State       string   `json:"state"`
	Leaving     bool     `json:"leaving"`
	Fence       int64    `json:"fence"`
	Models      []string `json:"models"`
	Online      int      `json:"online"`
	Waiting     int      `json:"waiting"`
	Batch       int      `json:"batch"`
	BatchWindow int      `json:"batch_window"`
	Supervisor  string   `json:"supervisor"`
	Ejected     bool     `json:"ejected"`
}

func (g *Gateway) status() Status {
	current, _ := g.Holder.Current()
	duties := g.Describe()
	status := Status{
		Daemon: g.Settings.Name, Zone: g.Settings.Zone, Region: g.Settings.Region,
		Ready: g.ready.Load(), Stopping: g.stop.HasBegun(), Revision: current.Number, Active: current.Active,
		CutOff: g.isCutOff(), PlatformUp: g.Platform.Available(), InFlight: g.active.Load(),
		HeldChunks: g.Worker.Held(), PeersRefused: duties.Refused, Duties: duties,
	}
	for _, member := range g.Node.Members() {
		status.Members = append(status.Members, MemberStatus{Name: member.Name, Zone: member.Zone, State: member.State.String()})
	}
	now := time.Now()
	for _, view := range g.Registry.Engines() {
		status.Engines = append(status.Engines, EngineStatus{
			Name: view.Name, Service: view.Machine.Service, Up: view.Record.Up, State: view.Record.State, Leaving: view.Machine.Leaving,
			Fence: view.Record.Fence, Models: view.Record.Models, Online: view.Load.Online, Waiting: view.Load.Waiting,
			Batch: view.Load.Batch, BatchWindow: view.Load.BatchWindow, Supervisor: view.Record.Supervisor, Ejected: now.Before(view.EjectedUntil),
		})
	}
	return status
}

// modelList is the OpenAI list of models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *caller) listModels() {
	if !c.call.IsGet() {
		c.gateway.writeFailure(c.call, failure.New(failure.KindInvalid, "bad_method", "use GET to list models").WithNotRun())
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range c.active.ModelNames() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "topazpulley"})
	}
	writeJSON(c.call, list)
}
