package truth

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	readTimeout  = 2 * time.Second
	readAttempts = 3
	// crashCommand is the cause that a replica records for a crash set as a fault.
	crashCommand = "command"
)

// Replica is the record of one replica, as served at /control/truth.
type Replica struct {
	ID           string         `json:"id"`
	Requests     int            `json:"requests"`
	Queries      int            `json:"queries"`
	Canceled     int            `json:"canceled"`
	Shed         int            `json:"shed"`
	Ran          map[string]int `json:"ran"`
	Crashes      []string       `json:"crashes"`
	AfterDrain   int            `json:"after_drain"`
	AfterDrainMS int64          `json:"after_drain_ms"`
	Connections  struct {
		Open    int `json:"open"`
		Peak    int `json:"peak"`
		Refused int `json:"refused"`
		Opened  int `json:"opened"`
	} `json:"connections"`
}

// Fleet reads the records of the replicas of one service, which listen on Count consecutive ports from Base.
type Fleet struct {
	Service string
	Base    netip.AddrPort
	Count   int

	mu   sync.Mutex
	last []Replica
	lost []bool
}

// Parse parses "SERVICE=IP:PORT+COUNT": the address of the first replica and the number of replicas.
func Parse(s string) (*Fleet, error) {
	service, rest, ok1 := strings.Cut(s, "=")
	base, count, ok2 := strings.Cut(rest, "+")
	addr, err1 := netip.ParseAddrPort(base)
	n, err2 := strconv.Atoi(count)
	if !ok1 || !ok2 || err1 != nil || err2 != nil || n <= 0 {
		return nil, fmt.Errorf("%q is not SERVICE=IP:PORT+COUNT, such as remnant-finder=127.0.0.1:9100+30", s)
	}
	return &Fleet{Service: service, Base: addr, Count: n, last: make([]Replica, n), lost: make([]bool, n)}, nil
}

// Read fetches the record of every replica. One that can't be read keeps its previous record and counts as lost.
func (f *Fleet) Read(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range f.Count {
		wg.Go(func() {
			got, err := f.readOne(ctx, i)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lost[i] = err != nil
			if err == nil {
				f.last[i] = got
			}
		})
	}
	wg.Wait()
}

// Unread returns the number of replicas that the last Read could not reach.
func (f *Fleet) Unread() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, lost := range f.lost {
		if lost {
			n++
		}
	}
	return n
}

// Requests returns the number of requests that reached the replicas, whatever their outcome.
func (f *Fleet) Requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.last {
		n += r.Requests
	}
	return n
}

// Peak returns the highest number of connections that any replica has had open at once since its start.
func (f *Fleet) Peak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	peak := 0
	for _, r := range f.last {
		peak = max(peak, r.Connections.Peak)
	}
	return peak
}

// RefusedConnections returns the number of connections that the replicas have refused since their start.
func (f *Fleet) RefusedConnections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.last {
		n += r.Connections.Refused
	}
	return n
}

// Crashes returns the number of crashes caused by a request, without those set as a fault.
func (f *Fleet) Crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.last {
		for _, by := range r.Crashes {
			if by != crashCommand {
				n++
			}
		}
	}
	return n
}

// AfterDrain returns the longest time after the start of its drain at which a replica accepted work, in milliseconds.
func (f *Fleet) AfterDrain() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var most int64
	for _, r := range f.last {
		most = max(most, r.AfterDrainMS)
	}
	return most
}

// Executions returns the number of executions of each write, summed over the replicas.
func (f *Fleet) Executions() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]int{}
	for _, r := range f.last {
		for op, n := range r.Ran {
			all[op] += n
		}
	}
	return all
}

// SetFaults posts faults to replica i of the fleet.
func (f *Fleet) SetFaults(ctx context.Context, i int, faults json.RawMessage) error {
	_, err := call(ctx, http.MethodPost, f.addr(i), "/control/faults", faults)
	return err
}

func (f *Fleet) addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(f.Base.Addr(), f.Base.Port()+uint16(i))
}

func (f *Fleet) readOne(ctx context.Context, i int) (Replica, error) {
	var last error
	for range readAttempts {
		b, err := call(ctx, http.MethodGet, f.addr(i), "/control/truth", nil)
		if err != nil {
			last = err
			continue
		}
		var r Replica
		if err := json.Unmarshal(b, &r); err != nil {
			return r, fmt.Errorf("truth of %s: %w", f.addr(i), err)
		}
		return r, nil
	}
	return Replica{}, last
}

// SetPlatformFaults posts faults to the platform stand-in at addr.
func SetPlatformFaults(ctx context.Context, addr netip.AddrPort, faults json.RawMessage) error {
	_, err := call(ctx, http.MethodPost, addr, "/control/faults", faults)
	return err
}

// call uses a new connection and closes it at once, since the number of connections of a replica is limited.
func call(ctx context.Context, method string, addr netip.AddrPort, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("control of %s: %w", addr, err)
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("control of %s: %w", addr, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("control of %s: %w", addr, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("control of %s: status %d: %s", addr, resp.StatusCode, b)
	}
	return b, nil
}
