package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/parser"
)

const (
	// routeTimeout bounds the whole question.
	routeTimeout = 5 * time.Second
	// maxRouteBytes bounds the answer.
	maxRouteBytes = 1 << 20
)

type routeCommand struct {
	Telemetry netip.AddrPort `required:"" help:"Telemetry address of the first node of the request."`
	Host      string         `help:"Host that the request names."`
	Service   string         `help:"Service that the request names, in place of a host."`
	Account   string         `help:"Client account of the request."`
	Output    string         `short:"o" enum:"table,json" default:"table" help:"Output format: table or json."`
	Method    string         `arg:"" help:"Method of the request."`
	Path      string         `arg:"" help:"Path of the request."`
}

// Run prints where a request would go now, and why. The exit code is that of a refusal if it
// would be refused.
func (c *routeCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	route, err := c.ask(ctx)
	if err != nil {
		return err
	}
	if c.Output == "json" {
		err = printJSON(route)
	} else {
		err = printRoute(os.Stdout, route)
	}
	if err != nil {
		return err
	}
	if route.Reason != waxwingseam.ReasonNone {
		return trace.LimitExceeded("the request would be refused: %s", route.Reason)
	}
	return nil
}

// ask asks the node.
func (c *routeCommand) ask(ctx context.Context) (route waxwingseam.Route, err error) {
	query := url.Values{
		"host": {c.Host}, "service": {c.Service}, "account": {c.Account}, "method": {c.Method}, "path": {c.Path},
	}
	address := url.URL{Scheme: "http", Host: c.Telemetry.String(), Path: "/v1/route", RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, address.String(), http.NoBody)
	if err != nil {
		return route, trace.Wrap(err)
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return route, trace.ConnectionProblem(err, "the node %s is not reached", c.Telemetry)
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode != http.StatusOK {
		return route, trace.Errorf("the node answered %s", reply.Status)
	}
	if err := parser.CheckResponse(reply); err != nil {
		return route, trace.Wrap(err, "the answer of the node is broken")
	}
	return route, trace.Wrap(json.NewDecoder(io.LimitReader(reply.Body, maxRouteBytes)).Decode(&route))
}

// printRoute prints a route as text.
func printRoute(w io.Writer, r waxwingseam.Route) error {
	_, err := fmt.Fprintf(w, "service %s, class %s, account %s, importance %d\n%s\n%s\n",
		orNone(string(r.Service)), orNone(string(r.Class)), orNone(string(r.Account)), r.Importance, shareLine(r), choiceLine(r))
	if err != nil || len(r.Candidates) == 0 {
		return trace.Wrap(err)
	}
	rows := make([][]string, 0, 1+len(r.Candidates))
	rows = append(rows, []string{"SERVER", "DATA CENTRE", "COST", "BASIS", "WORK LEFT", "PACE", "AGE", "OWN CALLS", "ERROR", "FILTERS"})
	for _, v := range r.Candidates {
		rows = append(rows, candidateRow(v))
	}
	return printTable(w, rows)
}

func shareLine(r waxwingseam.Route) string {
	return fmt.Sprintf("of the roots of the class, %.1f %% are refused at this node; the place of this one in the order is %.3f",
		100*r.RefusedPermille.Share(), r.Fraction)
}

func choiceLine(r waxwingseam.Route) string {
	if r.Reason == waxwingseam.ReasonNone {
		return fmt.Sprintf("goes to %s, the cheapest of a few drawn at random", r.Server)
	}
	line := fmt.Sprintf("would be refused: %s", r.Reason)
	if r.Basis != "" {
		line += fmt.Sprintf(", by %s", r.Basis)
	}
	if r.BasisAge > 0 {
		line += fmt.Sprintf(", known for %s", round(r.BasisAge))
	}
	return line
}

func candidateRow(v waxwingseam.RouteCandidate) []string {
	basis, work, pace, ratio := "own-calls", "-", "-", "-"
	if v.Stated {
		basis, work, pace = "figures", round(v.WorkLeft), strconv.Itoa(int(v.Pace))
		ratio = strconv.FormatFloat(v.Error, 'f', 2, 64)
	}
	age := "-"
	if v.Age > 0 {
		age = round(v.Age)
	}
	return []string{
		string(v.Server), string(v.DataCentre), round(v.Cost), basis, work, pace, age,
		strconv.Itoa(v.InFlight), ratio, orNone(strings.Join(v.Filters, ",")),
	}
}

func round(d time.Duration) string {
	return d.Round(10 * time.Microsecond).String()
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
