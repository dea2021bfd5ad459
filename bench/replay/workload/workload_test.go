package workload

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/status"
)

var shortPhaseDurations = PhaseDurations{time.Second, time.Second, time.Second}

func TestTraceRoundTrip(t *testing.T) {
	is := is.New(t)
	d := Kalahari().Scaled(10)
	tr := Generate(d, ScenarioFor("replace", d, shortPhaseDurations), 7)
	var b bytes.Buffer
	is.NoErr(tr.Write(&b))
	got, err := Read(&b)
	is.NoErr(err)
	is.Equal(got, tr)
	is.Equal(Generate(d, ScenarioFor("replace", d, shortPhaseDurations), 7), tr) // deterministic by seed
}

func TestReadRejectsInvalidTraces(t *testing.T) {
	head := `{"format":"peardrift-trace/1","deployment":"khaosan","from":1,"to":2,"lasts":3}` + "\n"
	for name, text := range map[string]string{
		"empty":              "",
		"another format":     `{"format":"x/1"}`,
		"unknown deployment": `{"format":"peardrift-trace/1","deployment":"x"}`,
		"unknown key":        head + `{"t":1,"class":"upload","colour":1}`,
		"unknown class":      head + `{"t":1,"class":"x"}`,
		"unknown service":    head + `{"t":1,"fault":"slow","service":"x"}`,
		"no such zone":       head + `{"t":1,"class":"upload","zone":9}`,
		"time goes back":     head + `{"t":2,"class":"upload"}` + "\n" + `{"t":1,"class":"upload"}`,
		"no trigger":         `{"format":"peardrift-trace/1","deployment":"khaosan","lasts":3}`,
		"after its end":      head + `{"t":4,"class":"upload"}`,
		"no such target":     head + `{"t":1,"fault":"drain","service":"feed","target":4}`,
		"cut short":          head + `{"t":1,"cla`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(strings.NewReader(text))
			is.True(errors.Is(err, &status.Error{Code: status.CodeMalformed}))
		})
	}
}

func TestBestGoodput(t *testing.T) {
	is := is.New(t)
	d := &Deployment{Services: []Service{{Name: "s", Targets: 2, Slots: 5}}, Classes: []Class{
		{Name: "low", Tenant: "a", Importance: 10, Root: call("s", 100*time.Millisecond)},
		{Name: "high", Tenant: "a", Importance: 90, Root: call("s", 100*time.Millisecond)},
		{Name: "other", Tenant: "b", Importance: 10, Root: call("s", 100*time.Millisecond)},
	}}
	near := func(got, want float64) {
		t.Helper()
		if got < want*0.97 || got > want*1.03 {
			t.Errorf("got %v, want about %v", got, want)
		}
	}
	best := d.BestGoodput(map[string]float64{"low": 200, "high": 40, "other": 20}, Condition{})
	near(best["high"], 40)  // first
	near(best["other"], 20) // less than its half of the remaining 60
	near(best["low"], 40)   // the rest
	best = d.BestGoodput(map[string]float64{"high": 200}, Condition{Slowdown: map[string]float64{"s": 2}, WorkingFraction: map[string]float64{"s": 0.5}})
	near(best["high"], 25)
	best = d.BestGoodput(map[string]float64{"high": 10}, Condition{Timeout: 50 * time.Millisecond})
	is.True(best["high"] < 2) // few complete within the timeout

	// The timeout equals the mean service time. Without foresight, requests that time out
	// hold a slot until then.
	withTimeout := Condition{Timeout: 100 * time.Millisecond}
	best = d.BestGoodput(map[string]float64{"high": 1000}, withTimeout)
	withTimeout.CountTimedOut = true
	blindBest := d.BestGoodput(map[string]float64{"high": 1000}, withTimeout)
	slotTime, inTime := d.EstimateSlotTime(&d.Classes[1], withTimeout)
	near(blindBest["high"], 10/slotTime["s"])
	near(slotTime["s"]*inTime, 0.0805) // the mean of a service time truncated at its own mean
	is.True(blindBest["high"] < best["high"])
}

func TestScenarioForCoversAllDeployments(t *testing.T) {
	is := is.New(t)
	for _, d := range Deployments() {
		for _, name := range ScenarioNames {
			s := ScenarioFor(name, d, shortPhaseDurations)
			is.True(s != nil && s.Description != "")
		}
		is.True(ScenarioFor("nothing", d, shortPhaseDurations) == nil)
	}
}
