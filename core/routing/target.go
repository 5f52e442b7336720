package routing

import (
	"fmt"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// CheckTarget returns an error unless a target of the given service can have the given card and layers: the service is named, and
// has engines with that card and a model with these layers. Targets of services without engines hold no layers.
func (c *Configuration) CheckTarget(service entity.ServiceID, card string, layers entity.LayerRange) error {
	named := c.Services[service]
	switch {
	case named == nil:
		return fmt.Errorf("service %q is not in the configuration", service)
	case named.Engine == nil && layers.Len() > 0:
		return fmt.Errorf("service %q has no engines, and the entry has layers", service)
	case named.Engine == nil:
		return nil
	case layers.To > named.Engine.Layers:
		return fmt.Errorf("layers up to %d of a model of %d", layers.To, named.Engine.Layers)
	}
	if _, known := named.Engine.Cards[card]; !known && len(named.Engine.Cards) > 0 {
		return fmt.Errorf("service %q has no engines of the type %q", service, card)
	}
	return nil
}
