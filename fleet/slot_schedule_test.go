package fleet

import (
	"math"
	"testing"
)

// Every gateway gets its own slot of a cycle, and no gateway calls before the minimum wait is over.
func TestNextSlotIsDistinct(t *testing.T) {
	seen := map[float64]bool{}
	for slot := range 300 {
		at := SlotSchedule{GatewayCount: 300, Slot: slot}.NextSlot(5000.3, 50, 2)
		if at < 5050.3 || at > 5050.3+600 || seen[math.Round(at)] {
			t.Fatalf("slot %d: the next call is at %.1f, want a time of its own from 5050.3 to 5650.3", slot, at)
		}
		seen[math.Round(at)] = true
	}
}

func TestNextSlotWithoutSlots(t *testing.T) {
	for _, test := range []struct {
		name     string
		schedule SlotSchedule
		want     float64
	}{
		{"unknown slot", SlotSchedule{GatewayCount: 300, Slot: -1}, 5600},
		{"short cycle", SlotSchedule{GatewayCount: 3, Slot: 1}, 5050},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.schedule.NextSlot(5000, 50, 2); got != test.want {
				t.Errorf("the next call is at %.1f, want %.1f", got, test.want)
			}
		})
	}
}

func TestInterval(t *testing.T) {
	if got := (SlotSchedule{GatewayCount: 300}).Interval(500, 2); got != 600 {
		t.Errorf("a call every %.0f ms, want 600", got)
	}
}
