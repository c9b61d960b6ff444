package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Idempotency tells how often backends may execute a request of a class.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // may be executed again under the idempotency key that the request carries
	NonIdempotent                        // may be executed at most once
)

// Class describes one class of the requests that clients send.
type Class struct {
	Name          string
	Idempotency   Idempotency
	Share         float64       // weight of the class: its share of the requests, relative to those of the other classes
	ClientTimeout time.Duration // how long the client waits, in whole milliseconds
}

// TrafficConfig configures the requests that the gateways receive.
type TrafficConfig struct {
	Gateways          int      // number of gateways, with the indices 0 to Gateways-1
	GatewaysPerTenant int      // number of gateways among which the requests of one tenant are distributed
	Tenants           int      // number of tenants; tenant n has plan n modulo the number of plans
	Plans             []string // names
	Classes           []Class
	RequestsPerSecond float64 // at each gateway, as a Poisson process
	Seed              uint64
}

// Request is one request of a client.
type Request struct {
	ID            string // 16 hex digits: the gateway's index and a sequence number
	Tenant        string // 16 hex digits
	Class         int
	Plan          int
	Idempotency   Idempotency
	ClientTimeout time.Duration
	Gateways      int    // number of gateways among which the tenant's requests are distributed
	FirstGateway  int    // index of the first of these; the others have the next indices, and 0 follows the last index
	Key           string // idempotency key; sent only if Idempotency is IdempotentWithKey
	className     string
	planName      string
}

// GatewayOf returns the index of the gateway in a request's id, or -1 if the id is malformed.
func GatewayOf(id string) int {
	var index, number uint32
	if _, err := fmt.Sscanf(id, "%08x%08x", &index, &number); err != nil || len(id) != 16 {
		return -1
	}
	return int(index)
}

// Command returns the RESP2 command that a client sends for the request.
func (r *Request) Command() []byte {
	fields := fmt.Sprintf("c=%s,t=%s,d=%d", r.className, r.planName, r.ClientTimeout.Milliseconds())
	if r.Idempotency == IdempotentWithKey {
		fields += ",k=" + r.Key
	}
	fields += fmt.Sprintf(",units=1,spread=%d,first=%d", r.Gateways, r.FirstGateway)
	if r.Idempotency == Idempotent {
		return appendCommand(nil, "Q.ASK", r.Tenant, r.ID, fields)
	}
	return appendCommand(nil, "Q.DO", r.Tenant, r.ID, fields, "body")
}

// Traffic generates the requests of one gateway. The same configuration and index give the same requests. It is not safe
// for concurrent use.
type Traffic struct {
	config       TrafficConfig
	gatewayIndex int
	rng          *rand.Rand
	tenants      []int   // whose requests this gateway receives; never empty
	totalShare   float64 // sum of the classes' shares
	lastSequence uint32  // sequence number of the latest request
}

// NewTraffic returns the generator of the requests of the gateway with the given index. A gateway to which no tenant is
// assigned receives the requests of tenant gatewayIndex modulo Tenants.
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

// firstGateway returns the index of the first gateway that receives a tenant's requests. It is a hash of the tenant's number.
func (t *Traffic) firstGateway(tenant int) int {
	return int(uint64(tenant+1) * 0x9e3779b97f4a7c15 >> 33 % uint64(t.config.Gateways))
}

// Next returns the next request and the interval between it and the previous one.
func (t *Traffic) Next() (time.Duration, *Request) {
	interval := time.Duration(t.rng.ExpFloat64() / t.config.RequestsPerSecond * float64(time.Second))
	tenant := t.tenants[t.rng.IntN(len(t.tenants))]
	classIndex := t.drawClass()
	class := &t.config.Classes[classIndex]
	t.lastSequence++
	plan := tenant % len(t.config.Plans)
	id := fmt.Sprintf("%08x%08x", t.gatewayIndex, t.lastSequence)
	return interval, &Request{
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

// drawClass picks a class at random, weighted by the classes' shares.
func (t *Traffic) drawClass() int {
	index, remaining := 0, t.rng.Float64()*t.totalShare
	for index < len(t.config.Classes)-1 && remaining >= t.config.Classes[index].Share {
		remaining -= t.config.Classes[index].Share
		index++
	}
	return index
}
