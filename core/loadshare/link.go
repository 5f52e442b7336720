package loadshare

import (
	"strings"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
)

// linkPrefix and linkSeparator form the key of a link in Loads. Instances of earlier versions pass such entries on and
// otherwise ignore them, as those of engines that they do not know.
const (
	linkPrefix    = "link:"
	linkSeparator = ">"
)

// AddLink records in l that an instance shares a link. Load.Sequences is the number of such instances.
func (l Loads) AddLink(link linkshare.Link) {
	l[entity.TargetID(linkPrefix+string(link.From)+linkSeparator+string(link.To))] = Load{Sequences: 1}
}

// Links returns the number of instances that share each link.
func (l Loads) Links() map[linkshare.Link]int {
	links := make(map[linkshare.Link]int)
	for id, load := range l {
		key, isLink := strings.CutPrefix(string(id), linkPrefix)
		if !isLink {
			continue
		}
		from, to, _ := strings.Cut(key, linkSeparator)
		links[linkshare.Link{From: entity.ZoneID(from), To: entity.ZoneID(to)}] = int(load.Sequences)
	}
	return links
}
