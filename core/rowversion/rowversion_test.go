package rowversion

import "testing"

// TestOrder guards against a version of an earlier era that counts as newer because more transactions preceded it.
func TestOrder(t *testing.T) {
	ordered := []Version{0, New(0, 1), New(0, 90), New(1, 0), New(1, 5), New(2, 4), New(2, 1<<40-1), New(3, 0)}
	for i := 1; i < len(ordered); i++ {
		if ordered[i-1] >= ordered[i] {
			t.Errorf("%v is not below %v", ordered[i-1], ordered[i])
		}
	}
	if v := New(7, 12); v.Era() != 7 || v.Counter() != 12 || v.String() != "7/12" {
		t.Errorf("version %v has era %d and counter %d", v, v.Era(), v.Counter())
	}
}
