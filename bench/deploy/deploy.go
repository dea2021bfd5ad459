// Package deploy describes the brief's two deployments for runs of real
// processes: instances, availability zones, and what the stand-in targets do
// for each kind of request. The services' declarations themselves are the
// configuration sets under examples/.
//
// Its functions are pure and return values that their caller owns.
package deploy

import (
	"fmt"
	"time"

	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
)

// Deployment is one tenant's fleet.
type Deployment struct {
	Tenant   string
	Region   string
	Zones    []string
	Services []Service
	// Load is the mix that callers send at rate 1: multiply the rates.
	Load []client.Class
	// Main names the class of Load that the main job shows in full.
	Main string
}

// Service is one service's targets.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Routes  []target.Route
}

// FullName is the name by which callers address a service.
func (d Deployment) FullName(s Service) string { return s.Name + "." + d.Tenant }

// Instance names the i-th target of a service and its zone.
func (d Deployment) Instance(s Service, i int) (name, zone string) {
	return fmt.Sprintf("%s-%s-%d", d.Tenant, s.Name, i+1), d.Zones[i%len(d.Zones)]
}

// rate makes an open loop of one phase.
func rate(perSecond float64) []client.Phase {
	return []client.Phase{{For: time.Second, Rate: perSecond}}
}

// All returns both deployments.
func All() []Deployment { return []Deployment{Khaosan(), Kalahari()} }

// Khaosan is the news deployment: four availability zones in Bangkok.
func Khaosan() Deployment {
	get := func(svc, path string) target.Call {
		return target.Call{Service: svc + ".khaosan", Method: "GET", Path: path, Required: true}
	}
	put := func(svc, path string) target.Call {
		return target.Call{Service: svc + ".khaosan", Method: "PUT", Path: path, Required: true}
	}
	return Deployment{
		Tenant: "khaosan", Region: "bangkok", Zones: []string{"bkk-a", "bkk-b", "bkk-c", "bkk-d"},
		Main: "morning-feed",
		Services: []Service{
			{Name: "archive", Targets: 6, Slots: 130, Routes: []target.Route{
				{Method: "PUT", Prefix: "/articles", ServiceTime: 4 * time.Millisecond},
				{Method: "GET", Prefix: "/articles", ServiceTime: 5 * time.Millisecond, Size: 2000, Calls: []target.Call{get("media", "/media/thumbs")}},
				{Method: "GET", Prefix: "/search", ServiceTime: 12 * time.Millisecond, Size: 1000},
			}},
			{Name: "notices", Targets: 4, Slots: 190, Routes: []target.Route{
				{Method: "GET", Prefix: "/notices/status", ServiceTime: 2 * time.Millisecond, Size: 100},
				{Method: "GET", Prefix: "/notices", ServiceTime: 3 * time.Millisecond, Size: 500},
				{Method: "POST", Prefix: "/notices", ServiceTime: 6 * time.Millisecond, Calls: []target.Call{put("archive", "/articles/n")}},
				{Method: "POST", Prefix: "/acknowledgements", ServiceTime: 2 * time.Millisecond},
			}},
			{Name: "media", Targets: 4, Slots: 190, Routes: []target.Route{
				{Method: "GET", Prefix: "/media", ServiceTime: 3 * time.Millisecond, Size: 4000},
				{Method: "POST", Prefix: "/galleries", ServiceTime: 20 * time.Millisecond},
				{Method: "POST", Prefix: "/videos", ServiceTime: 40 * time.Millisecond},
				{Method: "PUT", Prefix: "/attachments", ServiceTime: 5 * time.Millisecond},
			}},
			{Name: "feed", Targets: 4, Slots: 25, Routes: []target.Route{
				{Method: "GET", Prefix: "/feed", ServiceTime: 3 * time.Millisecond, Size: 1000, Calls: []target.Call{get("notices", "/notices"), get("archive", "/articles/top")}},
				{Method: "GET", Prefix: "/headlines", ServiceTime: 2 * time.Millisecond, Size: 500},
			}},
		},
		Load: []client.Class{
			{Name: "morning-feed", Host: "feed.khaosan", Path: "/feed", Phases: rate(60)},
			{Name: "headlines", Host: "feed.khaosan", Path: "/headlines", Phases: rate(40)},
			{Name: "notice-status", Host: "notices.khaosan", Path: "/notices/status", Phases: rate(30)},
			{Name: "notice-publish", Method: "POST", Host: "notices.khaosan", Path: "/notices", Key: true, Body: 600, Phases: rate(4)},
			{Name: "notice-acknowledge", Method: "POST", Host: "notices.khaosan", Path: "/acknowledgements", Key: true, Body: 60, Phases: rate(10)},
			{Name: "gallery-upload", Method: "POST", Host: "media.khaosan", Path: "/galleries", Body: 300_000, Phases: rate(3)},
		},
	}
}

// Kalahari is the claims deployment: three availability zones in Khomas.
func Kalahari() Deployment {
	call := func(method, svc, path string) target.Call {
		return target.Call{Service: svc + ".kalahari", Method: method, Path: path, Required: true}
	}
	return Deployment{
		Tenant: "kalahari", Region: "khomas", Zones: []string{"kho-a", "kho-b", "kho-c"},
		Main: "payout-approval",
		Services: []Service{
			{Name: "policydesk", Targets: 5, Slots: 170, Routes: []target.Route{
				{Method: "GET", Prefix: "/policies", ServiceTime: 4 * time.Millisecond, Size: 800},
				{Method: "GET", Prefix: "/reviews", ServiceTime: 6 * time.Millisecond, Size: 800, Calls: []target.Call{call("GET", "evidencebox", "/evidence")}},
				{Method: "POST", Prefix: "/authorizations", ServiceTime: 6 * time.Millisecond, Calls: []target.Call{call("POST", "settleworks", "/settlements")}},
			}},
			{Name: "settleworks", Targets: 4, Slots: 200, Routes: []target.Route{
				{Method: "GET", Prefix: "/settlements", ServiceTime: 3 * time.Millisecond, Size: 300},
				{Method: "POST", Prefix: "/settlements", ServiceTime: 10 * time.Millisecond, Calls: []target.Call{call("GET", "evidencebox", "/evidence")}},
			}},
			{Name: "evidencebox", Targets: 3, Slots: 300, Routes: []target.Route{
				{Method: "GET", Prefix: "/evidence", ServiceTime: 4 * time.Millisecond, Size: 2000},
				{Method: "POST", Prefix: "/photos", ServiceTime: 15 * time.Millisecond},
				{Method: "POST", Prefix: "/invoices", ServiceTime: 12 * time.Millisecond},
			}},
			{Name: "claimtrack", Targets: 3, Slots: 65, Routes: []target.Route{
				{Method: "GET", Prefix: "/claims", ServiceTime: 3 * time.Millisecond, Size: 400, Calls: []target.Call{call("GET", "policydesk", "/policies/p")}},
				{Method: "PUT", Prefix: "/claims", ServiceTime: 5 * time.Millisecond},
				{Method: "POST", Prefix: "/payouts", ServiceTime: 5 * time.Millisecond, Calls: []target.Call{call("POST", "policydesk", "/authorizations")}},
			}},
		},
		Load: []client.Class{
			{Name: "claim-status", Host: "claimtrack.kalahari", Path: "/claims/c", Phases: rate(60)},
			{Name: "policy-lookup", Host: "policydesk.kalahari", Path: "/policies/p", Phases: rate(20)},
			{Name: "clerk-review", Host: "policydesk.kalahari", Path: "/reviews/r", Phases: rate(15)},
			{Name: "payout-approval", Method: "POST", Host: "claimtrack.kalahari", Path: "/payouts", Key: true, Body: 200, Phases: rate(8)},
			{Name: "photo-upload", Method: "POST", Host: "evidencebox.kalahari", Path: "/photos", Body: 400_000, Phases: rate(4)},
		},
	}
}
