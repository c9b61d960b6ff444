package fleetsim

import "testing"

func TestOptionsAreChecked(t *testing.T) {
	valid := Defaults()
	if err := valid.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Options){
		"workers": func(o *Options) { o.Workers = 0 },
		"rate":    func(o *Options) { o.GatewayRate = 0 },
		"tenants": func(o *Options) { o.TenantRate = 0 },
		"noisy":   func(o *Options) { o.NoisyAbove = 0.5 },
		"memory":  func(o *Options) { o.HeapLimit = 0 },
		"budget":  func(o *Options) { o.RoundsBudget = -1 },
	} {
		o := Defaults()
		if spoil(&o); o.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
