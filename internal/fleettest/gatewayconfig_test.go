package fleettest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"bellwood/internal/gateway"
)

// The settings of real gateways (JSON) and of simulated ones (text) must be equal, and agree with the clients' classes and
// plans.
func TestRealAndSimulatedGatewaysGetTheSameSettings(t *testing.T) {
	for _, index := range []int{0, 9} {
		t.Run(fmt.Sprint("gateway ", index), func(t *testing.T) {
			paths := newSettings(index, 12, 7)
			text, _ := json.Marshal(gatewayConfig{Seed: "1", Known: []byte("{}"), Settings: paths.asJSON()})
			real, err := gateway.ReadConfig(bytes.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			simulated, err := paths.policySettings()
			if err != nil || !reflect.DeepEqual(real.Settings, simulated) {
				t.Errorf("real gateways get the settings %+v, simulated ones %+v (%v)", real.Settings, simulated, err)
			}
			if simulated.GatewayIndex != index || simulated.Zone != index%7 || len(simulated.Classes) != len(classes) ||
				!reflect.DeepEqual(real.Transport.Plans, plans) || len(real.Transport.Zones) != 7 {
				t.Errorf("gateway %d: wrong index, zone, classes, plans or zones in %+v and %+v", index, simulated,
					real.Transport)
			}
			for i, class := range classes {
				if real.Transport.Classes[i] != class.Name || int(simulated.Classes[i].Idempotency) != int(class.Idempotency) {
					t.Errorf("class %s of the clients is configured as %+v", class.Name, simulated.Classes[i])
				}
			}
		})
	}
}
