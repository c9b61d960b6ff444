package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The ways in which repeating a request can have an effect.
const (
	Idempotent        Idempotency = iota // it may run any number of times
	IdempotentWithKey                    // the requests carry a key
	NonIdempotent                        // it may run once at most
)

// Class is a class of requests as clients send them.
type Class struct {
	Name          string
	Idempotency   Idempotency
	Share         float64       // of the requests, compared with the other classes'
	ClientTimeout time.Duration // how long the client waits; whole milliseconds
}

// TrafficConfig says what the requests are like that reach the gateways.
type TrafficConfig struct {
	Gateways          int      // their indices are 0 to Gateways-1
	GatewaysPerTenant int      // of each tenant's set
	Tenants           int      // in all; tenant n has the plan n modulo the number of plans
	Plans             []string // names
	Classes           []Class
	RequestsPerSecond float64 // at each gateway, at random times (a Poisson process)
	Seed              uint64
}

// Request is one request of a client.
type Request struct {
	ID            string // 16 hex digits: the gateway's index and a number
	Tenant        string // 16 hex digits
	Class         int
	Plan          int
	Idempotency   Idempotency
	ClientTimeout time.Duration
	Gateways      int    // of the tenant's set
	FirstGateway  int    // of the tenant's set, which goes on with the next indices and, after the last, from 0 on
	Key           string // of a request that is idempotent with a key; others don't send it
	className     string
	planName      string
}

// GatewayOf returns the index of the gateway that a request's id names, or -1.
func GatewayOf(id string) int {
	var index, number uint32
	if _, err := fmt.Sscanf(id, "%08x%08x", &index, &number); err != nil || len(id) != 16 {
		return -1
	}
	return int(index)
}

// Command returns the request as a client writes it.
func (r *Request) Command() []byte {
	list := fmt.Sprintf("c=%s,t=%s,d=%d", r.className, r.planName, r.ClientTimeout.Milliseconds())
	if r.Idempotency == IdempotentWithKey {
		list += ",k=" + r.Key
	}
	list += fmt.Sprintf(",units=1,spread=%d,first=%d", r.Gateways, r.FirstGateway)
	if r.Idempotency == Idempotent {
		return appendCommand(nil, "Q.ASK", r.Tenant, r.ID, list)
	}
	return appendCommand(nil, "Q.DO", r.Tenant, r.ID, list, "body")
}

// Traffic generates the requests of one gateway: the same ones for the same configuration and index. It is not safe for
// concurrent use.
type Traffic struct {
	config       TrafficConfig
	gatewayIndex int
	rng          *rand.Rand
	tenants      []int   // whose set holds this gateway; one tenant where no set does
	totalShare   float64 // of all classes
	lastNumber   uint32  // of a request
}

// NewTraffic returns the generator of the gateway with an index.
func NewTraffic(config TrafficConfig, gatewayIndex int) *Traffic {
	t := &Traffic{config: config, gatewayIndex: gatewayIndex,
		rng: rand.New(rand.NewPCG(config.Seed, uint64(gatewayIndex)+1))}
	for tenant := range config.Tenants {
		if (gatewayIndex-t.firstGateway(tenant)+config.Gateways)%config.Gateways < config.GatewaysPerTenant {
			t.tenants = append(t.tenants, tenant)
		}
	}
	if len(t.tenants) == 0 {
		t.tenants = []int{gatewayIndex % max(1, config.Tenants)}
	}
	for _, class := range config.Classes {
		t.totalShare += class.Share
	}
	return t
}

// firstGateway is the first gateway of a tenant's set.
func (t *Traffic) firstGateway(tenant int) int {
	return int(uint64(tenant+1) * 0x9e3779b97f4a7c15 >> 33 % uint64(t.config.Gateways))
}

// Next returns the next request and the time from the one before to it.
func (t *Traffic) Next() (time.Duration, *Request) {
	gap := time.Duration(t.rng.ExpFloat64() / t.config.RequestsPerSecond * float64(time.Second))
	tenant := t.tenants[t.rng.IntN(len(t.tenants))]
	classIndex := t.drawClass()
	class := &t.config.Classes[classIndex]
	t.lastNumber++
	plan := tenant % len(t.config.Plans)
	id := fmt.Sprintf("%08x%08x", t.gatewayIndex, t.lastNumber)
	return gap, &Request{
		ID:            id,
		Tenant:        fmt.Sprintf("%016x", tenant+1),
		Class:         classIndex,
		Plan:          plan,
		Idempotency:   class.Idempotency,
		ClientTimeout: class.ClientTimeout,
		Gateways:      t.config.GatewaysPerTenant,
		FirstGateway:  t.firstGateway(tenant),
		Key:           id,
		className:     class.Name,
		planName:      t.config.Plans[plan],
	}
}

// drawClass draws a class by the classes' shares.
func (t *Traffic) drawClass() int {
	index, rest := 0, t.rng.Float64()*t.totalShare
	for index < len(t.config.Classes)-1 && rest >= t.config.Classes[index].Share {
		rest -= t.config.Classes[index].Share
		index++
	}
	return index
}
