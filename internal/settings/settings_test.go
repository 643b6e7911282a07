package settings

import "testing"

// Only nominal sizes are weights for the distribution of keys; rough sizes and loads are not.
func TestSizesAreWeightsWhereTheyAreNominal(t *testing.T) {
	for weights, want := range map[string]struct{ weighted, vary bool }{"nominal": {true, false}, "rough": {}, "live": {false, true}, "none": {}} {
		s, err := Parse([]byte(`{"weights":"` + weights + `"}`))
		if err != nil || s.Config.Weighted != want.weighted || s.Config.SizesVary != want.vary {
			t.Errorf("%s: weighted %v, varying %v, %v", weights, s.Config.Weighted, s.Config.SizesVary, err)
		}
	}
}
