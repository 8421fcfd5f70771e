// Command imitator runs one stand-in backend server, so that waxwingseam can be
// tried without real services.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/imitator"
)

type command struct {
	Name        string        `required:"" help:"Name of the backend server."`
	Service     string        `required:"" help:"Service that the server belongs to."`
	Address     string        `required:"" help:"Address to listen on, IP:PORT."`
	Outbound    string        `help:"Outbound address of the server's node, for child calls."`
	Slots       int           `default:"15" help:"Number of requests processed at once."`
	ServiceTime time.Duration `default:"20ms" help:"Mean service time of a request."`
	ColdTime    time.Duration `help:"Time after the start during which the server runs at a fifth of its speed."`
	Child       []string      `help:"Child call (GET) made through --outbound for each request, SERVICE/PATH; can be repeated."`
	RateLimit   float64       `default:"-1" help:"Rate limit that the server names in its answers, in requests per second; negative for none."`
	EndText     string        `help:"Text in the path or body of requests that end the server."`
	EndDelay    time.Duration `default:"30ms" help:"Time from the arrival of such a request to the end."`
	DownTime    time.Duration `default:"1s" help:"Time from the end to the restart."`
	Seed        uint64        `default:"1" help:"Seed of the random service times."`
}

// Run serves requests until SIGTERM or an interrupt arrives.
func (c *command) Run() error {
	config, err := c.config()
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, err := imitator.Listen(ctx, config)
	if err != nil {
		return trace.Wrap(err)
	}
	server.SetStatement(waxwingseam.Statement{Limited: c.RateLimit >= 0, Rate: max(c.RateLimit, 0)})
	fmt.Printf("imitator: %s serves %s on %s\n", c.Name, c.Service, server.Address())
	return trace.Wrap(server.Serve(ctx))
}

func (c *command) config() (imitator.Config, error) {
	config := imitator.Config{
		Name:        waxwingseam.ServerName(c.Name),
		Service:     waxwingseam.ServiceName(c.Service),
		Slots:       c.Slots,
		ServiceTime: c.ServiceTime,
		ColdTime:    c.ColdTime,
		EndText:     c.EndText,
		EndDelay:    c.EndDelay,
		DownTime:    c.DownTime,
		Seed:        c.Seed,
	}
	var err error
	if config.Address, err = netip.ParseAddrPort(c.Address); err != nil {
		return config, trace.BadParameter("address: %v", err)
	}
	if c.Outbound != "" {
		if config.Outbound, err = netip.ParseAddrPort(c.Outbound); err != nil {
			return config, trace.BadParameter("outbound: %v", err)
		}
	}
	route := imitator.Route{Prefix: "/"}
	for _, v := range c.Child {
		service, path, _ := strings.Cut(v, "/")
		route.Children = append(route.Children, imitator.Child{
			Service: waxwingseam.ServiceName(service),
			Path:    "/" + path,
		})
	}
	config.Routes = []imitator.Route{route}
	return config, nil
}

func main() {
	var c command
	k := kong.Parse(&c, kong.Description("Runs a stand-in backend server with slots, service time and child calls."))
	k.FatalIfErrorf(k.Run())
}
