package fleetsim

import (
	"strings"
	"testing"
)

// The defaults are valid, and the error for an invalid option names its flag.
func TestCheckNamesFlagOfInvalidOption(t *testing.T) {
	valid := Defaults()
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for flag, invalidate := range map[string]func(*Options){
		"workers":       func(o *Options) { o.Workers = 0 },
		"door-rate":     func(o *Options) { o.GatewayRate = 0 },
		"customer-rate": func(o *Options) { o.TenantRate = 0 },
		"noisy":         func(o *Options) { o.NoisyAbove = 0.5 },
		"memory-mb":     func(o *Options) { o.HeapLimit = 0 },
		"budget":        func(o *Options) { o.TimingBudget = -1 },
	} {
		o := Defaults()
		invalidate(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), flag+":") {
			t.Errorf("invalid %s: got error %v, want one that names the flag", flag, err)
		}
	}
}
