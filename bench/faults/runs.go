package faults

import "strings"

// runCounts counts the runs of each mark: at all services, and at the service that the
// request was sent to.
type runCounts struct{ all, atService map[string]int }

func (l *Lab) countRuns(hosts map[string]string) (runCounts, error) {
	t := runCounts{map[string]int{}, map[string]int{}}
	rs, err := l.Fleet.Runs()
	for _, r := range rs {
		t.all[r.Mark]++
		if r.Service == hosts[classOf(r.Mark)] {
			t.atService[r.Mark]++
		}
	}
	return t, err
}

// classOf returns the class in a mark set by the stand-in client.
func classOf(mark string) string {
	class, _, _ := strings.Cut(mark, "-")
	return class
}
