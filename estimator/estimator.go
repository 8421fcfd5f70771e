package estimator

import (
	"fmt"
	"strings"
)

// Role is a part that a process plays.
type Role string

// The roles of processes.
const (
	RoleNode      Role = "node"
	RoleReplica   Role = "control replica"
	RoleRegistrar Role = "registrar"
	RoleVoter     Role = "voter"
	RoleSystem    Role = "whole system"
)

// Row is one result: what a role needs, against its bound.
type Row struct {
	Role     Role
	Quantity string
	// Value and Bound are in Unit; a bound of 0 is none.
	Value float64
	Bound float64
	Unit  string
	// Formula names the slopes that the value is made of.
	Formula string
	// Mechanism names the part of the system that carries it.
	Mechanism string
}

// WithinBound reports whether a row keeps to its bound.
func (r Row) WithinBound() bool {
	return r.Bound == 0 || r.Value <= r.Bound
}

// Estimate works out all rows.
func Estimate(p Plan, s *Slopes) []Row {
	rows := nodeRows(p, s)
	rows = append(rows, replicaRows(p, s)...)
	rows = append(rows, registrarRows(p, s)...)
	rows = append(rows, voterRows(p, s)...)
	return append(rows, wholeRows(p, s)...)
}

// Markdown returns the rows as a table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | value | bound | formula | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		bound := "none"
		if r.Bound != 0 {
			bound = number(r.Bound) + " " + r.Unit
		}
		if !r.WithinBound() {
			bound += ", **passed**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Quantity, number(r.Value), r.Unit, bound, r.Formula, r.Mechanism)
	}
	return b.String()
}

// number writes a value with at most three figures after the point.
func number(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
