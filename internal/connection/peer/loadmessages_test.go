package peer

import (
	"reflect"
	"testing"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/admission"
)

// TestLoadMessages checks that every field of loads and plans survives the conversion to
// messages and back.
func TestLoadMessages(t *testing.T) {
	counts := map[admission.EndpointKey]int{7: 3, 9: 1}
	loads := []admission.GroupLoad{{Group: "g", Load: admission.Load{
		Accounts: map[string]admission.Demand{"a": {New: 1.5, Returned: 2.5, InFlight: 3}},
		Ended:    4, TimeSpent: 5, Late: 6, OnTime: 7, InFlight: 8, AtEndpoints: counts, Slots: 9,
	}}}
	expectEqual(t, loadsFromWire(loadsToWire(loads)), loads)
	plans := []admission.GroupPlan{{Group: "g", Plan: admission.Plan{
		Limits:     map[string]admission.Limit{"a": {InFlight: 1, Demand: 2, NewFraction: 0.5}},
		RetryAfter: 2 * time.Second, AtEndpoints: counts, State: admission.State{Target: 0.5, Usual: map[string]float64{"a": 3}},
	}}}
	expectEqual(t, plansFromWire(plansToWire(plans)), plans)
	expectNoZeroField(t, reflect.ValueOf(loads[0].Load))
	expectNoZeroField(t, reflect.ValueOf(loads[0].Load.Accounts["a"]))
	expectNoZeroField(t, reflect.ValueOf(plans[0].Plan.Limits["a"]))
}

func expectEqual(t *testing.T, got, expected any) {
	t.Helper()
	if !reflect.DeepEqual(got, expected) {
		t.Fatalf("got %+v, expected %+v", got, expected)
	}
}

// expectNoZeroField checks that the test covers every field of a struct.
func expectNoZeroField(t *testing.T, v reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("field %s is not set in the test", v.Type().Field(i).Name)
		}
	}
}
