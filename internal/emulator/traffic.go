package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

const (
	Idempotent Idempotency = iota
	IdempotentWithKey
	NonIdempotent
)

// Class is a class of requests as clients send them.
type Class struct {
	Name          string
	Idempotency   Idempotency
	Share         float64       // of the requests, compared with the other classes'
	ClientTimeout time.Duration // how long the client waits; whole milliseconds
}

// TrafficConfig says what the requests are like that reach the doors.
type TrafficConfig struct {
	Gateways          int      // all doors; their ranks are 0 to Doors-1
	GatewaysPerTenant int      // doors of each customer's set
	Tenants           int      // in all; customer n has the plan n modulo the number of plans
	Plans             []string // names
	Classes           []Class
	RequestsPerSecond float64 // requests a second at each door, at random times (a Poisson process)
	Seed              uint64
}

// Request is one request of a client.
type Request struct {
	ID            string // 16 hex digits: the door's rank and a number
	Tenant        string // 16 hex digits
	Class         int
	Plan          int
	Idempotency   Idempotency
	ClientTimeout time.Duration
	Gateways      int // doors of the customer's set ...
	FirstGateway  int // ... from this one on, counted round
	Key           string
	className     string
	planName      string
}

// GatewayOf returns the rank of the door that a request's id names, or -1.
func GatewayOf(id string) int {
	var rank, n uint32
	if _, err := fmt.Sscanf(id, "%08x%08x", &rank, &n); err != nil || len(id) != 16 {
		return -1
	}
	return int(rank)
}

// Command returns the request as a client writes it.
func (q *Request) Command() []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d", q.className, q.planName, q.ClientTimeout.Milliseconds())
	if q.Idempotency == IdempotentWithKey {
		list += ",k=" + q.Key
	}
	list += fmt.Sprintf(",units=1,spread=%d,first=%d", q.Gateways, q.FirstGateway)
	if q.Idempotency == Idempotent {
		return appendCommand(nil, "Q.ASK", q.Tenant, q.ID, list)
	}
	return appendCommand(nil, "Q.DO", q.Tenant, q.ID, list, "body")
}

// Traffic generates the requests of one door: the same ones for the same configuration and rank.
type Traffic struct {
	config       TrafficConfig
	gatewayIndex int
	rng          *rand.Rand
	tenants      []int // whose set holds this door
	totalShare   float64
	lastNumber   uint32
}

// NewTraffic returns the generator of the door with a rank.
func NewTraffic(conf TrafficConfig, rank int) *Traffic {
	t := &Traffic{config: conf, gatewayIndex: rank, rng: rand.New(rand.NewPCG(conf.Seed, uint64(rank)+1))}
	for c := range conf.Tenants {
		if (rank-t.firstGateway(c)+conf.Gateways)%conf.Gateways < conf.GatewaysPerTenant {
			t.tenants = append(t.tenants, c)
		}
	}
	if len(t.tenants) == 0 {
		t.tenants = []int{rank % max(1, conf.Tenants)}
	}
	for _, c := range conf.Classes {
		t.totalShare += c.Share
	}
	return t
}

// firstGateway is the first door of a customer's set.
func (t *Traffic) firstGateway(customer int) int {
	return int(uint64(customer+1) * 0x9e3779b97f4a7c15 >> 33 % uint64(t.config.Gateways))
}

// Next returns the next request and the time from the one before to it.
func (t *Traffic) Next() (time.Duration, *Request) {
	gap := time.Duration(t.rng.ExpFloat64() / t.config.RequestsPerSecond * float64(time.Second))
	c := t.tenants[t.rng.IntN(len(t.tenants))]
	class, at := 0, t.rng.Float64()*t.totalShare
	for class < len(t.config.Classes)-1 && at >= t.config.Classes[class].Share {
		at -= t.config.Classes[class].Share
		class++
	}
	t.lastNumber++
	k := &t.config.Classes[class]
	plan := c % len(t.config.Plans)
	id := fmt.Sprintf("%08x%08x", t.gatewayIndex, t.lastNumber)
	return gap, &Request{ID: id, Tenant: fmt.Sprintf("%016x", c+1), Class: class, Plan: plan, Idempotency: k.Idempotency,
		ClientTimeout: k.ClientTimeout, Gateways: t.config.GatewaysPerTenant, FirstGateway: t.firstGateway(c), Key: id, className: k.Name, planName: t.config.Plans[plan]}
}
