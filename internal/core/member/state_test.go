package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func oneRegion(int) string { return "bkk" }

func twoRegions(i int) string {
	if i%2 == 0 {
		return "bkk"
	}
	return "khm"
}

func TestClusterConverges(t *testing.T) {
	for _, tt := range []struct {
		name   string
		n      int
		region func(int) string
	}{
		{"alone", 1, oneRegion},
		{"pair", 2, oneRegion},
		{"small", 5, twoRegions},
		{"one region", 40, oneRegion},
		{"two regions", 40, twoRegions},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			net := newTestNet(DefaultConfig(), 1)
			net.startCluster(tt.n, tt.region)
			net.run(40 * time.Second)
			is.Equal(net.difference(), "")
			for _, n := range net.nodes {
				is.Equal(len(n.s.tab.members), tt.n)
				is.Equal(n.s.Stats().Deaths, uint64(0))
			}
		})
	}
}

func TestLeaveAndFactsSpread(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 2)
	net.startCluster(30, twoRegions)
	net.run(40 * time.Second)
	net.nodes[3].s.Leave(net.Now)
	net.nodes[4].s.PutFact(net.Now, Fact{Kind: ConfigHead, Key: 7, Version: 9, Value: []byte("digest")})
	net.run(5 * time.Second)
	for _, n := range net.nodes {
		is.Equal(net.status(n, net.nodes[3]), "leaving")
		f, ok := n.s.Fact(ConfigHead, 7)
		is.True(ok)
		is.Equal(f.Version, uint64(9))
	}
	net.nodes[3].s.Depart(net.Now)
	net.run(3 * time.Second)
	net.nodes[3].down = true
	net.run(20 * time.Second)
	for _, n := range net.nodes {
		is.Equal(net.status(n, net.nodes[3]), "dead")
	}
	is.Equal(net.difference(), "")
}

func TestFailedMemberIsDetectedAndRejoins(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 3)
	net.startCluster(20, oneRegion)
	net.run(30 * time.Second)
	net.nodes[5].down = true
	net.run(30 * time.Second)
	is.Equal(net.status(net.nodes[0], net.nodes[5]), "unreachable")
	net.restart(5, net.nodes[0])
	net.run(20 * time.Second)
	is.Equal(net.status(net.nodes[0], net.nodes[19]), "alive")
	is.Equal(net.difference(), "")
}

// A target that restarts with the same contents does not send its record again;
// others must still see its new incarnation, or it gets no calls, or too many
// while it is cold.
func TestRestartUpdatesIncarnation(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 6)
	net.startCluster(10, oneRegion)
	net.run(20 * time.Second)
	net.nodes[5].down = true
	net.run(25 * time.Second)
	id := net.nodes[5].rec.ID
	net.restart(5, net.nodes[0])
	net.run(10 * time.Second)
	for _, n := range net.nodes {
		m, ok := n.s.Lookup(id)
		is.True(ok)
		is.Equal(m.Record.Incarnation, uint32(110))
		is.Equal(m.Incarnation, uint32(110))
	}
	n := net.nodes[9]
	n.frozenUntil = net.Now + 30*time.Second
	net.run(45 * time.Second)
	m, _ := net.nodes[0].s.Lookup(n.rec.ID)
	is.Equal(m.Incarnation, uint32(111)) // it refuted
	is.Equal(m.Record.Incarnation, uint32(110))
}

func TestFiveSecondFreezeCausesNoDeaths(t *testing.T) {
	is := is.New(t)
	net := newTestNet(DefaultConfig(), 4)
	net.startCluster(20, oneRegion)
	net.run(30 * time.Second)
	for i := range 20 {
		net.nodes[i].frozenUntil = net.Now + 5*time.Second
		net.run(7 * time.Second)
	}
	for _, n := range net.nodes {
		is.Equal(n.s.Stats().Deaths, uint64(0))
	}
}
