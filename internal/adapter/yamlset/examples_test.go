package yamlset

import (
	"testing"

	"github.com/matryer/is"

	"peardrift/internal/core/configset"
	"peardrift/internal/core/request"
)

func loadExamples(t *testing.T) *configset.Index {
	t.Helper()
	idx := configset.NewIndex()
	for _, dir := range []string{"khaosan", "kalahari"} {
		set, err := Load("../../../examples/" + dir)
		if err != nil {
			t.Fatal(err)
		}
		idx = idx.WithSet(set)
	}
	return idx
}

// The chains of the two deployments, call by call as the targets make them.
func TestExampleChainsAreDeclared(t *testing.T) {
	idx := loadExamples(t)
	for _, call := range []struct {
		from, to     request.Service
		method, path string
		class        request.Class
	}{
		{"", "feed.khaosan", "GET", "/feed/today", "morning-feed"},
		{"feed.khaosan", "notices.khaosan", "GET", "/notices", "notice-list"},
		{"feed.khaosan", "archive.khaosan", "GET", "/articles/7", "archive-lookup"},
		{"archive.khaosan", "media.khaosan", "GET", "/media/7", "media-read"},
		{"", "notices.khaosan", "POST", "/notices", "notice-publish"},
		{"notices.khaosan", "archive.khaosan", "PUT", "/articles/8", "archive-store"},
		{"notices.khaosan", "media.khaosan", "PUT", "/attachments/8", "notice-attachment"},
		{"", "notices.khaosan", "GET", "/notices/status/8", "notice-status"},
		{"", "notices.khaosan", "POST", "/acknowledgements/8", "notice-acknowledge"},
		{"", "media.khaosan", "POST", "/galleries", "gallery-upload"},
		{"media.khaosan", "archive.khaosan", "PUT", "/articles/9", "archive-store"},
		{"", "claimtrack.kalahari", "GET", "/claims/7", "claim-status"},
		{"claimtrack.kalahari", "policydesk.kalahari", "GET", "/policies/7", "policy-lookup"},
		{"", "claimtrack.kalahari", "POST", "/payouts/7/approve", "payout-approval"},
		{"claimtrack.kalahari", "policydesk.kalahari", "POST", "/authorizations", "payout-authorization"},
		{"policydesk.kalahari", "settleworks.kalahari", "POST", "/settlements", "settlement"},
		{"settleworks.kalahari", "evidencebox.kalahari", "GET", "/evidence/7", "evidence-read"},
		{"", "evidencebox.kalahari", "POST", "/photos", "photo-upload"},
		{"evidencebox.kalahari", "policydesk.kalahari", "GET", "/policies/7", "policy-lookup"},
	} {
		is := is.New(t)
		info, ok := idx.Service(call.to)
		is.True(ok) // the service is declared
		class, ok := info.Match(call.method, call.path)
		is.True(ok) // the request has a class
		is.Equal(class.Name, call.class)
		if from, ok := idx.Service(call.from); ok {
			is.True(from.MayCall(call.to)) // the call is declared
		}
	}
}

// The brief's order: payout approvals, uploads and notice publishes are refused
// after feed reads and status checks.
func TestExampleOrderOfRefusal(t *testing.T) {
	idx := loadExamples(t)
	last := map[request.Class]bool{"payout-approval": true, "payout-authorization": true, "settlement": true,
		"photo-upload": true, "invoice-upload": true, "gallery-upload": true, "video-upload": true, "notice-publish": true}
	first := map[request.Class]bool{"morning-feed": true, "headlines": true, "claim-status": true,
		"notice-status": true, "settlement-status": true}
	highest, lowest := request.Importance(0), request.MaxImportance
	once := 0
	for _, name := range idx.Services() {
		info, _ := idx.Service(name)
		for _, c := range info.Classes {
			if first[c.Name] {
				highest = max(highest, c.Importance)
			}
			if last[c.Name] {
				lowest = min(lowest, c.Importance)
			}
			if c.AtMostOnce {
				once++
			}
		}
	}
	is := is.New(t)
	is.True(highest < lowest)
	is.Equal(once, 5) // publish, acknowledge, and the three steps of a payout
}
