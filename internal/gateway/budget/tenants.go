package budget

const (
	tenantShare = 0.0625 // of the memory limit, for the state of tenants
	tenantBytes = 640    // of one tenant's state
)

// Tenants returns the limit on tenants whose state is kept, given the gateway's memory limit in MiB. 0 MiB means that the
// configuration sets no limit; the result is then 0, too.
func Tenants(memoryMB int) int { return int(float64(memoryMB<<20) * tenantShare / tenantBytes) }
