package fleet

import (
	"math"
	"testing"
)

// The slots of one cycle are apart by the gap; each gateway gets one and waits for the minimum.
func TestNextSlotIsDistinct(t *testing.T) {
	seen := map[float64]bool{}
	for slot := range 300 {
		at := SlotSchedule{GatewayCount: 300, Slot: slot}.NextSlot(5000.3, 50, 2)
		if at < 5050.3 || at > 5050.3+600 || seen[math.Round(at)] {
			t.Fatalf("slot %d: %.1f", slot, at)
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
				t.Errorf("at %.1f, want %.1f", got, test.want)
			}
		})
	}
}

func TestInterval(t *testing.T) {
	if got := (SlotSchedule{GatewayCount: 300}).Interval(500, 2); got != 600 {
		t.Errorf("every %.0f ms", got)
	}
}
