package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Class is a class of requests as clients send them.
type Class struct {
	Name   string
	Effect Effect
	Share  float64       // of the requests, compared with the other classes'
	Wait   time.Duration // how long the client waits; whole milliseconds
}

// TrafficConfig says what the requests are like that reach the doors.
type TrafficConfig struct {
	Doors     int      // all doors; their ranks are 0 to Doors-1
	Spread    int      // doors of each customer's set
	Customers int      // in all; customer n has the plan n modulo the number of plans
	Plans     []string // names
	Classes   []Class
	Rate      float64 // requests a second at each door, at random times (a Poisson process)
	Seed      uint64
}

// Request is one request of a client.
type Request struct {
	ID       string // 16 hex digits: the door's rank and a number
	Customer string // 16 hex digits
	Class    int
	Plan     int
	Effect   Effect
	Wait     time.Duration
	Spread   int // doors of the customer's set ...
	First    int // ... from this one on, counted round
	Key      string
	class    string
	plan     string
}

// DoorOf returns the rank of the door that a request's id names, or -1.
func DoorOf(id string) int {
	var rank, n uint32
	if _, err := fmt.Sscanf(id, "%08x%08x", &rank, &n); err != nil || len(id) != 16 {
		return -1
	}
	return int(rank)
}

// Command returns the request as a client writes it.
func (q *Request) Command() []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d", q.class, q.plan, q.Wait.Milliseconds())
	if q.Effect == Keyed {
		list += ",k=" + q.Key
	}
	list += fmt.Sprintf(",units=1,spread=%d,first=%d", q.Spread, q.First)
	if q.Effect == Safe {
		return appendCommand(nil, "Q.ASK", q.Customer, q.ID, list)
	}
	return appendCommand(nil, "Q.DO", q.Customer, q.ID, list, "body")
}

// Traffic generates the requests of one door: the same ones for the same configuration and rank.
type Traffic struct {
	conf      TrafficConfig
	rank      int
	rng       *rand.Rand
	customers []int // whose set holds this door
	shares    float64
	last      uint32
}

// NewTraffic returns the generator of the door with a rank.
func NewTraffic(conf TrafficConfig, rank int) *Traffic {
	t := &Traffic{conf: conf, rank: rank, rng: rand.New(rand.NewPCG(conf.Seed, uint64(rank)+1))}
	for c := range conf.Customers {
		if (rank-t.first(c)+conf.Doors)%conf.Doors < conf.Spread {
			t.customers = append(t.customers, c)
		}
	}
	if len(t.customers) == 0 {
		t.customers = []int{rank % max(1, conf.Customers)}
	}
	for _, c := range conf.Classes {
		t.shares += c.Share
	}
	return t
}

// first is the first door of a customer's set.
func (t *Traffic) first(customer int) int {
	return int(uint64(customer+1) * 0x9e3779b97f4a7c15 >> 33 % uint64(t.conf.Doors))
}

// Next returns the next request and the time from the one before to it.
func (t *Traffic) Next() (time.Duration, *Request) {
	gap := time.Duration(t.rng.ExpFloat64() / t.conf.Rate * float64(time.Second))
	c := t.customers[t.rng.IntN(len(t.customers))]
	class, at := 0, t.rng.Float64()*t.shares
	for class < len(t.conf.Classes)-1 && at >= t.conf.Classes[class].Share {
		at -= t.conf.Classes[class].Share
		class++
	}
	t.last++
	k := &t.conf.Classes[class]
	plan := c % len(t.conf.Plans)
	id := fmt.Sprintf("%08x%08x", t.rank, t.last)
	return gap, &Request{ID: id, Customer: fmt.Sprintf("%016x", c+1), Class: class, Plan: plan, Effect: k.Effect,
		Wait: k.Wait, Spread: t.conf.Spread, First: t.first(c), Key: id, class: k.Name, plan: t.conf.Plans[plan]}
}
