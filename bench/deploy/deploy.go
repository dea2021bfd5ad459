// Package deploy describes two example deployments for runs of real processes:
// instances, availability zones and how the stand-in targets handle each kind of
// request. The services are declared in the configuration sets under examples/.
//
// All functions are pure, and callers may modify the returned values.
package deploy

import (
	"fmt"
	"time"

	"peardrift/bench/standin/client"
	"peardrift/bench/standin/target"
)

// Deployment describes the fleet of one tenant.
type Deployment struct {
	Tenant   string
	Region   string
	Zones    []string
	Services []Service
	// Load is the callers' traffic mix at scale 1; scale it by multiplying the
	// rates.
	Load []client.Class
	// Main names the class of Load that the main job reports in detail.
	Main string
}

// Service describes the targets of one service.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Routes  []target.Route
}

// FullName returns the name that callers use for a service: "service.tenant".
func (d Deployment) FullName(s Service) string { return s.Name + "." + d.Tenant }

// Instance returns the name and the zone of the i-th target of a service.
func (d Deployment) Instance(s Service, i int) (name, zone string) {
	return fmt.Sprintf("%s-%s-%d", d.Tenant, s.Name, i+1), d.Zones[i%len(d.Zones)]
}

// singlePhase returns one phase of one second with a mean arrival rate.
func singlePhase(perSecond float64) []client.Phase {
	return []client.Phase{{Duration: time.Second, Rate: perSecond}}
}

// All returns both deployments.
func All() []Deployment { return []Deployment{Khaosan(), Kalahari()} }

// Khaosan returns the news deployment: four availability zones in Bangkok.
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
			{Name: "morning-feed", Host: "feed.khaosan", Path: "/feed", Phases: singlePhase(60)},
			{Name: "headlines", Host: "feed.khaosan", Path: "/headlines", Phases: singlePhase(40)},
			{Name: "notice-status", Host: "notices.khaosan", Path: "/notices/status", Phases: singlePhase(30)},
			{Name: "notice-publish", Method: "POST", Host: "notices.khaosan", Path: "/notices", Key: true, Body: 600, Phases: singlePhase(4)},
			{Name: "notice-acknowledge", Method: "POST", Host: "notices.khaosan", Path: "/acknowledgements", Key: true, Body: 60, Phases: singlePhase(10)},
			{Name: "gallery-upload", Method: "POST", Host: "media.khaosan", Path: "/galleries", Body: 300_000, Phases: singlePhase(3)},
		},
	}
}

// Kalahari returns the insurance claims deployment: three availability zones in
// Khomas.
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
			{Name: "claim-status", Host: "claimtrack.kalahari", Path: "/claims/c", Phases: singlePhase(60)},
			{Name: "policy-lookup", Host: "policydesk.kalahari", Path: "/policies/p", Phases: singlePhase(20)},
			{Name: "clerk-review", Host: "policydesk.kalahari", Path: "/reviews/r", Phases: singlePhase(15)},
			{Name: "payout-approval", Method: "POST", Host: "claimtrack.kalahari", Path: "/payouts", Key: true, Body: 200, Phases: singlePhase(8)},
			{Name: "photo-upload", Method: "POST", Host: "evidencebox.kalahari", Path: "/photos", Body: 400_000, Phases: singlePhase(4)},
		},
	}
}
