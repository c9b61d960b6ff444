package fleetsim

import "testing"

// about says whether a value is within a thousandth of another.
func about(got, want float64) bool { return got >= want*0.999 && got <= want*1.001 }

// The traffic adds up to what is asked for; with uneven traffic a tenth of the gateways gets five times the mean.
func TestPopulationSendsTheRateAskedFor(t *testing.T) {
	o := quickOptions(5)
	for _, size := range []Size{{1, 1}, small, medium, {100, 2}} {
		for _, traffic := range []Traffic{EvenTraffic, UnevenTraffic} {
			t.Run(size.String()+", "+string(traffic), func(t *testing.T) {
				p := o.fleet(size, traffic).population
				checkPairs(t, p)
				sum, busiest := 0.0, 0.0
				for _, rate := range p.rates {
					sum, busiest = sum+rate, max(busiest, rate)
				}
				if total := o.fleetRate(size); !about(sum, total) {
					t.Errorf("%.2f requests a second, want %.2f", sum, total)
				}
				mean := sum / float64(size.Gateways)
				if traffic == UnevenTraffic && size.Gateways >= 30 && (busiest < 4.99*mean || busiest > 5.01*mean) {
					t.Errorf("the busiest gateway has %.2f, the mean is %.2f", busiest, mean)
				}
				if traffic == EvenTraffic && busiest > 1.001*mean {
					t.Errorf("the busiest gateway has %.2f, the mean is %.2f", busiest, mean)
				}
			})
		}
	}
}

// checkPairs checks that each gateway has pairs, whose rates add up to its own.
func checkPairs(t *testing.T, p *population) {
	t.Helper()
	for gateway, rate := range p.rates {
		pairs := p.pairs[gateway]
		if n := len(pairs); n == 0 || !about(pairs[n-1].cumulativeRate, rate) {
			t.Errorf("gateway %d has %d pairs", gateway, n)
		}
	}
}
