//go:build review3

package standins3

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// The machines of the core have the addresses 127.0.coreHost.N, those beside backend servers
// 127.0.sideHost.N.
const (
	coreHost = 91
	sideHost = 92
)

// seedsPlaceholder is the list of seeds in a template, without the outer braces.
const seedsPlaceholder = "#seeds}}{{.}}{{,}}{{/seeds"

const (
	controlPort = 6
	lastPort    = 15
	seedCount   = 3
	coreSize    = 5
)

// The bounds of the small deployments.
const (
	catchUp      = 4 * time.Second
	stableWindow = 3 * time.Second
	recoverTime  = 15 * time.Second
)

// core is the machines that serve control.
type core struct {
	play     *play
	replicas []*process
}

func coreAddress(n int) string {
	return fmt.Sprintf("127.0.%d.%d", coreHost, n+1)
}

// seeds returns the control addresses of three machines, from the first one on.
func (p *play) seeds(first int) string {
	var list []string
	for n := range seedCount {
		list = append(list, fmt.Sprintf("%s:%d", coreAddress(first+n), p.port+controlPort))
	}
	return strings.Join(list, ",")
}

// common returns the values of the placeholders that both templates have.
func (p *play) common(ip, zone string) map[string]string {
	return map[string]string{
		"zone": zone, "ip": ip,
		"portRange.0": strconv.Itoa(p.port), "portRange.1": strconv.Itoa(p.port + lastPort),
		seedsPlaceholder:  p.seeds(0),
		"bounds.grace":    "6s",
		"limits.memoryMb": "280",
	}
}

// startCore starts all machines of the core for the first time.
func (p *play) startCore() (*core, error) {
	c := &core{play: p}
	for n := range coreSize {
		c.add("true")
		if err := c.restart(n); err != nil {
			return nil, err
		}
	}
	for _, v := range c.replicas {
		v.values["bootstrap"] = "false"
	}
	return c, nil
}

// add adds a machine with an empty disk, which is not started yet.
func (c *core) add(bootstrap string) {
	n := len(c.replicas)
	values := c.play.common(coreAddress(n), fmt.Sprintf("zone-%d", n%3))
	values["bootstrap"] = bootstrap
	values["faultTolerance.machines"] = "2"
	values["listenAddrs.control"] = fmt.Sprintf("%s:%d", coreAddress(n), c.play.port+controlPort)
	values["dataDir"] = c.disk(n)
	c.replicas = append(c.replicas, c.play.newProcess(fmt.Sprintf("core-%d", n), "deploy/control.ini.template", values))
}

func (c *core) disk(n int) string {
	return fmt.Sprintf("%s/disk-%d", c.play.folder, n)
}

// restart starts a machine with the disk that it has.
func (c *core) restart(n int) error {
	if err := os.MkdirAll(c.disk(n), 0o700); err != nil {
		return err
	}
	return c.replicas[n].start()
}

// loseDisk kills a machine's process and starts it again with an empty disk.
func (c *core) loseDisk(n int) error {
	c.replicas[n].kill()
	if err := os.RemoveAll(c.disk(n)); err != nil {
		return err
	}
	return c.restart(n)
}

// call sends one call of the operator to a machine.
func (c *core) call(n int, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	url := fmt.Sprintf("http://%s:%d%s", coreAddress(n), c.play.port+controlPort, path)
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if len(body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, data
}

// apply sends a manifest to one machine after the other until one acknowledges it.
func (c *core) apply(manifest []byte, limit time.Duration) (acknowledgedBy int, ok bool) {
	until := time.Now().Add(limit)
	for n := 0; time.Now().Before(until); n = (n + 1) % coreSize {
		if status, _ := c.call(n, http.MethodPut, "/config", manifest, time.Second); status == http.StatusOK {
			return n, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, false
}

// read reads the manifest's version from one machine; 0 if it does not tell.
func (c *core) read(n int) (status, version int) {
	status, data := c.call(n, http.MethodGet, "/config", nil, 4*time.Second)
	if status != http.StatusOK {
		return status, 0
	}
	var d struct {
		Version string `json:"version"`
	}
	if json.Unmarshal(data, &d) != nil {
		return status, 0
	}
	version, _ = strconv.Atoi(strings.TrimPrefix(d.Version, "r"))
	return status, version
}

// whole waits until a machine says that there are so many members, which all vote.
func (c *core) whole(want int, limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		_, data := c.call(0, http.MethodGet, "/v1/status", nil, time.Second)
		var s struct {
			Log struct {
				Members []struct {
					Voter bool `json:"voter"`
				} `json:"members"`
			} `json:"log"`
		}
		if json.Unmarshal(data, &s) == nil {
			voters := 0
			for _, m := range s.Log.Members {
				if m.Voter {
					voters++
				}
			}
			if voters == want && len(s.Log.Members) == want {
				return true
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
