package fleetsim

import "testing"

// approxEqual reports whether got is within a thousandth of want.
func approxEqual(got, want float64) bool { return got >= want*0.999 && got <= want*1.001 }

// The gateways' rates add up to the fleet's rate. With even traffic they are equal; with uneven traffic the busiest
// gateways, a tenth of all, get five times the mean.
func TestPopulationRatesAddUpToFleetRate(t *testing.T) {
	o := fastOptions(5)
	for _, size := range []Size{{1, 1}, small, medium, {100, 2}} {
		for _, traffic := range []Traffic{EvenTraffic, UnevenTraffic} {
			t.Run(size.String()+", "+string(traffic), func(t *testing.T) {
				p := o.fleet(size, traffic).population
				checkPairs(t, p)
				sum, busiest := 0.0, 0.0
				for _, rate := range p.rates {
					sum, busiest = sum+rate, max(busiest, rate)
				}
				if total := o.fleetRate(size); !approxEqual(sum, total) {
					t.Errorf("got %.2f requests per second in total, want %.2f", sum, total)
				}
				mean := sum / float64(size.Gateways)
				if traffic == UnevenTraffic && size.Gateways >= 30 && (busiest < 4.99*mean || busiest > 5.01*mean) {
					t.Errorf("uneven traffic: the busiest gateway gets %.2f requests per second, want five times the mean of %.2f",
						busiest, mean)
				}
				if traffic == EvenTraffic && busiest > 1.001*mean {
					t.Errorf("even traffic: the busiest gateway gets %.2f requests per second, want the mean of %.2f",
						busiest, mean)
				}
			})
		}
	}
}

// checkPairs checks that each gateway has at least one pair and that the pairs' rates add up to the gateway's rate.
func checkPairs(t *testing.T, p *population) {
	t.Helper()
	for gateway, rate := range p.rates {
		pairs := p.pairs[gateway]
		if n := len(pairs); n == 0 || !approxEqual(pairs[n-1].cumulativeRate, rate) {
			t.Errorf("gateway %d: got %d pairs, want at least one, with rates that add up to %.2f", gateway, n, rate)
		}
	}
}
