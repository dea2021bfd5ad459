package earlyrefusal

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peardrift/internal/core/request"
)

func pacedTable() *Table {
	cfg := DefaultConfig().WithPacing()
	return NewTable(&cfg, rand.New(rand.NewPCG(1, 2)))
}

// Guards against starting requests by the one gate that admits all: its calls are thinned
// by the refusals of the others, which then go on refusing.
func TestFractionIsTheMeanOfTheGates(t *testing.T) {
	const half = feedLevel + 1<<15
	tests := []struct {
		name   string
		levels []request.Level
		want   float64
	}{
		{"nothing known", nil, 1},
		{"all admit", []request.Level{0, 0, 0}, 1},
		{"all below", []request.Level{feedLevel - 1, feedLevel}, 1},
		{"within", []request.Level{half, half}, 0.5},
		{"one of three admits all", []request.Level{0, half, half}, 2.0 / 3},
		{"one of five refuses all", []request.Level{0, 0, 0, 0, payPriority}, 0.8},
		{"one of three refuses all", []request.Level{0, 0, payPriority}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tab := pacedTable()
			learnLevels(tab, 0, tt.levels...)
			is.True(math.Abs(tab.Fraction(0, archiveKey, 20)-tt.want) < 1e-3)
		})
	}
}

// Guards against an entry that starts requests which a service further down refuses, and
// none that a gate exempts.
func TestFractionOfChainAndExemption(t *testing.T) {
	is := is.New(t)
	tab := pacedTable()
	exempt := []request.Level{feedLevel + 3<<14}
	tab.Learn(0, archiveKey, Report{Target: 1, Own: payPriority, Exempt: exempt, Slots: 100})
	is.True(math.Abs(tab.Fraction(0, archiveKey, 20)-0.25) < 1e-3)
	tab.Learn(10*ms, archiveKey, Report{Target: 1, Chain: feedLevel + 1<<15, Slots: 100})
	is.True(math.Abs(tab.Fraction(10*ms, archiveKey, 20)-0.5) < 1e-3)
	is.Equal(tab.Fraction(2*time.Second, archiveKey, 20), 1.0) // reports have ended
}

// Guards against answers to the important requests of a class that say upstream that
// nothing is refused, while all of its less important ones are.
func TestLevelBelowImportanceIsReported(t *testing.T) {
	is := is.New(t)
	tab := pacedTable()
	learnLevels(tab, 0, payPriority, payPriority, payPriority, payPriority)
	is.True(tab.latest(0, archiveKey, request.LowestPriority(100)) == payPriority)
	is.Equal(tab.Fraction(0, archiveKey, 100), 1.0)
	is.Equal(tab.Fraction(0, archiveKey, 20), 0.0)
}
