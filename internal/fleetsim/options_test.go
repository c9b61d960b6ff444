package fleetsim

import (
	"strings"
	"testing"
)

func TestOptionsAreChecked(t *testing.T) {
	valid := Defaults()
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for flag, spoil := range map[string]func(*Options){
		"workers":       func(o *Options) { o.Workers = 0 },
		"door-rate":     func(o *Options) { o.GatewayRate = 0 },
		"customer-rate": func(o *Options) { o.TenantRate = 0 },
		"noisy":         func(o *Options) { o.NoisyAbove = 0.5 },
		"memory-mb":     func(o *Options) { o.HeapLimit = 0 },
		"budget":        func(o *Options) { o.RoundsBudget = -1 },
	} {
		o := Defaults()
		spoil(&o)
		if err := o.Check(); err == nil || !strings.Contains(err.Error(), flag+":") {
			t.Errorf("%s: error %v", flag, err)
		}
	}
}
