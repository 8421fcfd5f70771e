package estimator

import (
	"fmt"
	"strings"
)

// Role is the part of the system that a row applies to.
type Role string

// The roles, in the order of their rows.
const (
	RoleNode      Role = "node"
	RoleReplica   Role = "control replica"
	RoleRegistrar Role = "registrar"
	RoleVoter     Role = "voter"
	RoleSystem    Role = "whole system"
)

// Row is one result: a quantity that a role needs, with its bound.
type Row struct {
	Role     Role
	Quantity string
	// Value and Bound are in Unit; a bound of 0 means no bound.
	Value float64
	Bound float64
	Unit  string
	// Formula describes how the value is calculated.
	Formula string
	// Mechanism names the parts of the system that determine the value.
	Mechanism string
}

// WithinBound reports whether the value is within the bound.
func (r Row) WithinBound() bool {
	return r.Bound == 0 || r.Value <= r.Bound
}

// Estimate returns the rows of all roles.
func Estimate(p Plan, s *Slopes) []Row {
	rows := nodeRows(p, s)
	rows = append(rows, replicaRows(p, s)...)
	rows = append(rows, registrarRows(p, s)...)
	rows = append(rows, voterRows(p, s)...)
	return append(rows, systemRows(p, s)...)
}

// Markdown returns the rows as a table.
func Markdown(rows []Row) string {
	var b strings.Builder
	b.WriteString("| role | what | value | bound | formula | mechanism |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		bound := "none"
		if r.Bound != 0 {
			bound = formatNumber(r.Bound) + " " + r.Unit
		}
		if !r.WithinBound() {
			bound += ", **passed**"
		}
		fmt.Fprintf(&b, "| %s | %s | %s %s | %s | %s | %s |\n", r.Role, r.Quantity, formatNumber(r.Value), r.Unit, bound, r.Formula, r.Mechanism)
	}
	return b.String()
}

// formatNumber formats a value with no decimal places from 100 on, with one from 1
// on, and otherwise with three.
func formatNumber(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3f", v)
}
