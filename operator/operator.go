// Package operator provides a client for the operator API.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"waxwingseam.example/waxwingseam"
	"waxwingseam.example/waxwingseam/administrator"
	"waxwingseam.example/waxwingseam/authenticator"
	"waxwingseam.example/waxwingseam/historian"
	"waxwingseam.example/waxwingseam/parser"
)

// requestTimeout bounds one request.
const requestTimeout = 15 * time.Second

// maxAnswerBytes bounds an answer. The longest is a set, which may be encoded in more bytes than
// its submission.
const maxAnswerBytes = 4 * administrator.MaxBody

// Config holds the settings of a client.
type Config struct {
	// Address is the IP:PORT of the operator API.
	Address string
	// TLS is the TLS configuration; nil selects plain text.
	TLS *tls.Config
	// Token is the operator's bearer token, if any.
	Token string
	// Name is the operator's name, sent without proof of identity; empty for none.
	Name string
}

// Client calls the operator API of one replica. A method returns a *Refusal if the
// request was refused, and a trace.ConnectionProblem if its outcome is unknown.
type Client interface {
	// Submit submits a complete set of objects.
	Submit(ctx context.Context, s administrator.Submission) (historian.Answer, error)
	// Drain drains a backend server or undoes its drain.
	Drain(ctx context.Context, d administrator.DrainRequest) (historian.Answer, error)
	// OrderQuarantine lifts or sets the quarantine of a request that ends backend servers.
	OrderQuarantine(ctx context.Context, o waxwingseam.QuarantineOrder) (administrator.QuarantineAnswer, error)
	// Set returns the set of a revision; 0 selects the newest.
	Set(ctx context.Context, r waxwingseam.Revision) (administrator.SetAnswer, error)
	// Format returns the set of a revision in canonical INI; 0 selects the newest.
	Format(ctx context.Context, r waxwingseam.Revision) ([]byte, error)
	// History returns the entries after a revision, oldest first. The replica bounds
	// their number; another call with the revision of the last entry returns the next
	// entries.
	History(ctx context.Context, after waxwingseam.Revision) (administrator.HistoryAnswer, error)
	// Differences compares files with the newest set.
	Differences(ctx context.Context, q administrator.DifferencesRequest) (administrator.DifferencesAnswer, error)
	// Status returns the status of the cluster.
	Status(ctx context.Context) (administrator.StatusAnswer, error)
	// Accounts returns the use of client accounts over all nodes.
	Accounts(ctx context.Context) (administrator.AccountsAnswer, error)
}

// Refusal is an error answer of the operator API. Unless its status is a client
// error, the outcome of the request is unknown, and the client wraps the refusal
// in a trace.ConnectionProblem.
type Refusal struct {
	administrator.Problem
}

// Error implements error.
func (r *Refusal) Error() string {
	text := string(r.Reason) + ": " + r.Title
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	if len(r.Findings) > 0 {
		text += "\n" + r.Findings.Error()
	}
	if r.Answer != nil {
		text += describeAnswer(r.Answer)
	}
	return text
}

// describeAnswer describes the revision of the answer and, for a conflict, the
// revision that follows the base and the objects that changed since the base.
func describeAnswer(a *historian.Answer) string {
	text := fmt.Sprintf("\nthe newest revision is %d", a.Revision)
	if w := a.Winner; w != nil {
		text += fmt.Sprintf("\nrevision %d was submitted by %s at %s, submission-id %s", w.Revision, w.Operator, w.At.Format(time.RFC3339), w.Submission)
	}
	for _, id := range a.Differing {
		text += "\nchanged since the base: " + id.String()
		if slices.Contains(a.Clashing, id) {
			text += ", and by this submission"
		}
	}
	return text
}

type client struct {
	config Config
	http   *http.Client
}

// New returns a client for one replica.
func New(config Config) Client {
	return &client{
		config: config,
		http: &http.Client{
			Timeout:   requestTimeout,
			Transport: &http.Transport{TLSClientConfig: config.TLS},
		},
	}
}

// Submit implements Client.
func (c *client) Submit(ctx context.Context, s administrator.Submission) (a historian.Answer, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/submissions", s, &a)
	return a, err
}

// Drain implements Client.
func (c *client) Drain(ctx context.Context, d administrator.DrainRequest) (a historian.Answer, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/drains", d, &a)
	return a, err
}

// OrderQuarantine implements Client.
func (c *client) OrderQuarantine(ctx context.Context, o waxwingseam.QuarantineOrder) (a administrator.QuarantineAnswer, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/quarantines", o, &a)
	return a, err
}

// Set implements Client.
func (c *client) Set(ctx context.Context, r waxwingseam.Revision) (a administrator.SetAnswer, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/set"+revisionQuery("revision", r), nil, &a)
	return a, err
}

// Format implements Client.
func (c *client) Format(ctx context.Context, r waxwingseam.Revision) ([]byte, error) {
	path := "/v1/set?output=ini"
	if r > 0 {
		path += "&revision=" + strconv.FormatUint(uint64(r), 10)
	}
	return c.do(ctx, http.MethodGet, path, nil)
}

// History implements Client.
func (c *client) History(ctx context.Context, after waxwingseam.Revision) (a administrator.HistoryAnswer, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/history"+revisionQuery("after", after), nil, &a)
	return a, err
}

// Differences implements Client.
func (c *client) Differences(ctx context.Context, q administrator.DifferencesRequest) (a administrator.DifferencesAnswer, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/differences", q, &a)
	return a, err
}

// Status implements Client.
func (c *client) Status(ctx context.Context) (a administrator.StatusAnswer, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &a)
	return a, err
}

// Accounts implements Client.
func (c *client) Accounts(ctx context.Context) (a administrator.AccountsAnswer, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/accounts", nil, &a)
	return a, err
}

func revisionQuery(key string, r waxwingseam.Revision) string {
	if r == 0 {
		return ""
	}
	return "?" + url.Values{key: {strconv.FormatUint(uint64(r), 10)}}.Encode()
}

// call makes one request, with in as its JSON body unless in is nil, and decodes the
// answer into out.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = encoded
	}
	data, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, out); err != nil {
		return c.broken(err)
	}
	return nil
}

// broken returns the error for an answer that tells nothing of the outcome.
func (c *client) broken(cause error) error {
	return trace.ConnectionProblem(cause, "%s: the answer is broken: %v", c.config.Address, cause)
}

// do makes one request and returns the body of its answer.
func (c *client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.url(path), bytes.NewReader(body))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if c.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+c.config.Token)
	}
	if c.config.Name != "" {
		request.Header.Set(authenticator.OperatorHeader, c.config.Name)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s: %v", c.config.Address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%s: %v", c.config.Address, err)
	}
	if len(data) > maxAnswerBytes {
		return nil, trace.ConnectionProblem(nil, "%s: the answer has more than %d bytes", c.config.Address, maxAnswerBytes)
	}
	if err := parser.CheckResponse(response); err != nil {
		return nil, c.broken(err)
	}
	if response.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, parseRefusal(response.StatusCode, data)
}

func (c *client) url(path string) string {
	scheme := "http://"
	if c.config.TLS != nil {
		scheme = "https://"
	}
	return scheme + c.config.Address + path
}

func parseRefusal(status int, data []byte) error {
	r := &Refusal{}
	if err := json.Unmarshal(data, &r.Problem); err != nil {
		r.Reason, r.Title = administrator.ReasonBadRequest, http.StatusText(status)
		r.Detail = strings.TrimSpace(string(data))
	}
	r.Status = status
	if status < http.StatusBadRequest || status >= http.StatusInternalServerError {
		return trace.ConnectionProblem(r, "%s", r.Error())
	}
	return r
}
