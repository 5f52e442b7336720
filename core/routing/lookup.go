package routing

import (
	"maps"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// RouteByName returns the route with the given name, or nil if there is none. If several routes have the name, it returns
// the first one by host, with the longest prefix.
func (c *Configuration) RouteByName(name string) *Route {
	for _, host := range slices.Sorted(maps.Keys(c.byHost)) {
		for _, route := range c.byHost[host] {
			if route.Name == name {
				return route
			}
		}
	}
	return nil
}

// AccountByID returns the account with the given id. It reports false if no API key belongs to it.
func (c *Configuration) AccountByID(id entity.AccountID) (Account, bool) {
	for _, account := range c.accounts {
		if account.ID == id {
			return account, true
		}
	}
	return Account{}, false
}
