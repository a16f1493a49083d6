package capacitybench

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"strconv"

	"wasabihoist/internal/base/group"
	"wasabihoist/internal/cluster/wire"
	"wasabihoist/internal/fleet/lease"
	"wasabihoist/internal/run/bench/usage"
	"wasabihoist/internal/standin/logservice"
	"wasabihoist/internal/standin/workerhost"
)

// partVariable names the part that a process of the measurement plays. Parts
// run in processes of their own, so that the operating system accounts the
// processor time of each.
const partVariable = "WASABIHOIST_BENCH_PART"

const (
	workersPart = "workers" // workersPart serves the log and the stand-ins of all workers.
	holderPart  = "holder"  // holderPart serves one table of leases.
)

// partUsage is what a part has used since its start.
type partUsage struct {
	CPUNanos  int64 `json:"cpu-ns"`
	Bytes     int64 `json:"bytes"`
	HeapBytes int64 `json:"heap-bytes"`
}

// part is a process that plays a part. It is asked on its standard input.
type part struct {
	command   *exec.Cmd
	input     io.WriteCloser
	output    *json.Decoder
	addresses []netip.AddrPort
}

// startPart runs this program again in the role of a part.
func startPart(ctx context.Context, kind string, workers int) (*part, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	p := &part{command: exec.CommandContext(ctx, program, "bench", "leases")}
	p.command.Env = append(os.Environ(), partVariable+"="+kind+":"+strconv.Itoa(workers))
	p.command.Stderr = os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", kind, err)
	}
	p.output = json.NewDecoder(output)
	if err := p.output.Decode(&p.addresses); err != nil {
		return p, fmt.Errorf("addresses of %s: %w", kind, err)
	}
	return p, nil
}

// usage asks the part. Only with heap it collects its garbage, which takes
// processor time.
func (p *part) usage(heap bool) (partUsage, error) {
	var u partUsage
	if _, err := fmt.Fprintln(p.input, heap); err != nil {
		return u, fmt.Errorf("ask a part: %w", err)
	}
	if err := p.output.Decode(&u); err != nil {
		return u, fmt.Errorf("answer of a part: %w", err)
	}
	return u, nil
}

// stop ends the process by closing its input.
func (p *part) stop() {
	_ = p.input.Close()
	_ = p.command.Wait()
}

// playPart serves until the input ends.
func playPart(ctx context.Context, kind string, workers int, input io.Reader, output io.Writer) error {
	s := &site{group: group.New(ctx)}
	defer s.stop()
	var addresses []netip.AddrPort
	add := func(address netip.AddrPort, err error) error {
		addresses = append(addresses, address)
		return err
	}
	if kind == holderPart {
		table := lease.NewTable()
		s.group.Go(table.String(), table.Run)
		if err := add(s.serve(wire.NewLeaseHolderServer(lease.NewServer(table)), true)); err != nil {
			return err
		}
	} else {
		if err := add(s.serve(logservice.New(logservice.DefaultLimits()).Handler(), false)); err != nil {
			return err
		}
		for range workers {
			if err := add(s.serve(workerhost.New(workerCapacity, nil).Handler(), true)); err != nil {
				return err
			}
		}
	}
	encoder := json.NewEncoder(output)
	if err := encoder.Encode(addresses); err != nil {
		return err
	}
	for lines := bufio.NewScanner(input); lines.Scan(); {
		used := s.counter.read()
		u := partUsage{CPUNanos: used.cpu.Nanoseconds(), Bytes: used.wire}
		if lines.Text() == strconv.FormatBool(true) {
			u.HeapBytes = usage.Heap()
		}
		if err := encoder.Encode(u); err != nil {
			return err
		}
	}
	return nil
}
