package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/logger"
	"waxwingseam.example/waxwingseam/operator"
)

// controlFlags select the control replica and identify the operator.
type controlFlags struct {
	Control     string `required:"" help:"Operator API of a control replica, IP:PORT."`
	TokenFile   string `type:"existingfile" help:"File with the operator's bearer token."`
	Certificate string `type:"existingfile" help:"Operator's certificate; used only with --authority."`
	Key         string `type:"existingfile" help:"Private key of the operator's certificate; used only with --authority."`
	Authority   string `type:"existingfile" help:"CA certificates that the replica's certificate is verified against; enables TLS."`
	Operator    string `env:"USER" help:"Operator's name, if no token or certificate identifies the operator."`
}

// client returns a client of the operator API.
func (f *controlFlags) client() (operator.Client, error) {
	config := operator.Config{Address: f.Control, Name: f.Operator}
	if f.TokenFile != "" {
		token, err := os.ReadFile(f.TokenFile)
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		config.Token = strings.TrimSpace(string(token))
	}
	if f.Authority != "" {
		certificates, err := authenticator.NewCertificates(authenticator.CertificateConfig{
			CertificateFile: f.Certificate,
			KeyFile:         f.Key,
			AuthorityFile:   f.Authority,
			Logger:          logger.New(logger.Config{Writer: os.Stderr}).Part("operator"),
		})
		if err != nil {
			return nil, err
		}
		config.TLS = certificates.Client(authenticator.RoleControl)
	}
	return operator.New(config), nil
}

// submissionFlags are the flags of the commands that submit a revision.
type submissionFlags struct {
	SubmissionID   string `help:"Identifier of the submission. Resend with the same identifier if the answer was lost."`
	AcceptWarnings bool   `help:"Submit despite warnings."`
}

// id returns the submission's identifier. If none is given, it generates one and
// prints it to standard error for a later resend.
func (f *submissionFlags) id() waxwingseam.SubmissionID {
	if f.SubmissionID == "" {
		f.SubmissionID = uuid.NewString()
		fmt.Fprintln(os.Stderr, "submission-id:", f.SubmissionID)
	}
	return waxwingseam.SubmissionID(f.SubmissionID)
}

// printAnswer prints the verdict on a submission and the revision of the answer.
func printAnswer(a historian.Answer) {
	fmt.Printf("%s: revision %d\n", a.Verdict, a.Revision)
}

// withClient calls run with a client of the operator API.
func (f *controlFlags) withClient(run func(ctx context.Context, c operator.Client) error) error {
	c, err := f.client()
	if err != nil {
		return err
	}
	return run(context.Background(), c)
}

// printTable writes rows of cells as aligned columns.
func printTable(w io.Writer, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(table.Flush())
}
