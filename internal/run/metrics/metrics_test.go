package metrics_test

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/run/metrics"
)

// Guards against a panic of expvar when several roles of one operating system
// process use the same names, and against figures that mix between them.
func TestDuplicateNamesShareOrSeparate(t *testing.T) {
	c := qt.New(t)
	name := rand.Text() // registries outlive the test, which may be repeated
	first, again, other := metrics.For(name), metrics.For(name), metrics.For(name+"-other")
	first.Counter("requests", "requests", "Requests that were answered.").Add(2)
	again.Counter("requests", "requests", "Another text.").Add(1)
	other.Counter("requests", "requests", "Requests that were answered.").Add(5)
	c.Assert(first.Counter("requests", "", "").Value(), qt.Equals, int64(3))
	c.Assert(other.Counter("requests", "", "").Value(), qt.Equals, int64(5))
	first.Gauge("requests", "requests", "The same name for another kind.").Set(9)
	c.Assert(first.Descriptions(), qt.DeepEquals, []metrics.Description{
		{Name: "requests", Kind: metrics.CounterKind, Unit: "requests", Meaning: "Requests that were answered."},
	})
}

// Guards against a counter that goes down.
func TestCounterIgnoresNegativeSteps(t *testing.T) {
	counter := metrics.For(rand.Text()).Counter("n", "", "")
	counter.Add(3)
	counter.Add(-2)
	qt.Assert(t, counter.Value(), qt.Equals, int64(3))
}

// Guards against a listener that serves no figures, takes headers of any size
// or does not stop.
func TestServe(t *testing.T) {
	c := qt.New(t)
	r := metrics.For("served")
	r.Gauge("queue", "requests", "Requests that wait.").Set(4)
	l, err := metrics.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g := group.New(ctx)
	g.Go("serve", func(ctx context.Context) error { return r.Serve(ctx, l) })

	base := "http://" + l.Addr().String()
	var figures struct {
		Wasabihoist map[string]map[string]float64 `json:"wasabihoist"`
	}
	_, body := get(c, base+"/debug/vars", "")
	c.Assert(json.Unmarshal(body, &figures), qt.IsNil)
	c.Assert(figures.Wasabihoist["served"]["queue"], qt.Equals, 4.0)
	status, body := get(c, base+"/debug/descriptions", "")
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(string(body), qt.Contains, "Requests that wait.")
	status, _ = get(c, base+"/debug/vars", strings.Repeat("x", 64<<10))
	c.Assert(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	g.Stop()
	c.Assert(g.Wait(), qt.IsNil)
	_, err = net.DialTimeout("tcp", l.Addr().String(), time.Second)
	c.Assert(err, qt.IsNotNil)
}

func get(c *qt.C, url, header string) (int, []byte) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	c.Assert(err, qt.IsNil)
	request.Header.Set("X-Test", header)
	client := &http.Client{Timeout: 5 * time.Second}
	response, err := client.Do(request)
	c.Assert(err, qt.IsNil)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response.StatusCode, body
}
