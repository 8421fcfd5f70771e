package subscriber

import (
	"time"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/registrar"
)

// goneServers holds the last announcement of each server that control reported gone. A
// control replica that was cut off from the others may list such a server for up to
// registrar.OrphanTime.
type goneServers map[waxwingseam.ServerName]goneServer

type goneServer struct {
	announcement waxwingseam.Announcement
	forgetAt     time.Time
}

// add records that a server is gone, and forgets servers that no replica lists.
func (g goneServers) add(now time.Time, a waxwingseam.Announcement) {
	for name, v := range g {
		if now.After(v.forgetAt) {
			delete(g, name)
		}
	}
	if v, ok := g[a.Server.Name]; ok && v.announcement.Newer(a) {
		return
	}
	g[a.Server.Name] = goneServer{announcement: a, forgetAt: now.Add(registrar.OrphanTime)}
}

// includes reports whether a server was reported gone and has not announced itself
// again since.
func (g goneServers) includes(a waxwingseam.Announcement) bool {
	v, ok := g[a.Server.Name]
	return ok && !a.Newer(v.announcement)
}
