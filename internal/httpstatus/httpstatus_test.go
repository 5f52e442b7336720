package httpstatus

import "testing"

// TestClasses guards against codes outside HTTP's classes that count as final or interim.
func TestClasses(t *testing.T) {
	for code, want := range map[int][2]bool{
		0: {}, 99: {}, 100: {true, false}, 101: {}, 103: {true, false}, 199: {true, false}, 200: {false, true}, 599: {false, true},
		600: {}, 999: {},
	} {
		if got := [2]bool{IsInterim(code), IsFinal(code)}; got != want {
			t.Errorf("%d: interim and final %v, want %v", code, got, want)
		}
	}
}
