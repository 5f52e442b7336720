package routing

import (
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// TestCheckTarget guards against entries of other writers that count as targets although the deployment does not have their
// service, their accelerator type or their layers.
func TestCheckTarget(t *testing.T) {
	c := New(1, nil, []*Service{
		{ID: "ledger"}, {ID: "llm", Engine: &Engine{Layers: 8, Cards: map[string]Card{"small": {}}}},
	}, nil, Limits{})
	for _, test := range []struct {
		service entity.ServiceID
		card    string
		layers  entity.LayerRange
		valid   bool
	}{
		{"ledger", "", entity.LayerRange{}, true},
		{"ledger", "", entity.LayerRange{From: 0, To: 1}, false},
		{"other", "", entity.LayerRange{}, false},
		{"llm", "small", entity.LayerRange{}, true},
		{"llm", "small", entity.LayerRange{From: 4, To: 8}, true},
		{"llm", "small", entity.LayerRange{From: 4, To: 9}, false},
		{"llm", "small", entity.LayerRange{From: 8, To: 10}, false},
		{"llm", "large", entity.LayerRange{}, false},
		{"llm", "", entity.LayerRange{}, false},
	} {
		if err := c.CheckTarget(test.service, test.card, test.layers); (err == nil) != test.valid {
			t.Errorf("%+v: %v", test, err)
		}
	}
}
