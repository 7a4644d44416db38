package subnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

const (
	// subnets is the maximum number of concurrent soak tests: 127.1 to 127.250.
	subnets = 250
	// lockPort is the port whose listener reserves the subnet; hosts listen on other addresses.
	lockPort = 7799
	// hostsPerNet is the number of hosts with the same third octet; firstHost keeps them off the address of the lock.
	hostsPerNet, firstHost = 200, 20
)

// Subnet is a part of the loopback network reserved by one soak test.
type Subnet struct {
	octet uint64
	lock  net.Listener
}

// Reserve reserves the subnet that belongs to a seed, or the next free one.
//
// Two soak tests on the same addresses send requests to each other's hosts, and both report writes that ran twice or
// not at all. A check for free ports before the hosts start doesn't prevent this, as both find them free.
func Reserve(ctx context.Context, seed uint64) (*Subnet, error) {
	var cfg net.ListenConfig
	for i := range uint64(subnets) {
		second := 1 + (seed+i)%subnets
		l, err := cfg.Listen(ctx, "tcp", fmt.Sprintf("127.%d.0.1:%d", second, lockPort))
		switch {
		case err == nil:
			return &Subnet{octet: second, lock: l}, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, fmt.Errorf("reserve loopback addresses: %w", err)
		}
	}
	return nil, errors.New("reserve loopback addresses: all are held by other soaks")
}

// IP returns the address of host i.
func (s *Subnet) IP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.octet, 1+i/hostsPerNet, firstHost+i%hostsPerNet)
}

// Close releases the subnet.
func (s *Subnet) Close() { _ = s.lock.Close() }
