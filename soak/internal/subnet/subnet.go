package subnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

const (
	// subnets is how many soaks can run side by side: 127.1 to 127.250.
	subnets = 250
	// lockPort is the port on which a soak holds its subnet; hosts listen on other addresses.
	lockPort = 7799
	// perNet is how many hosts have one third number of the address; firstHost keeps them off the lock's address.
	perNet, firstHost = 200, 20
)

// Subnet is a part of the loopback network that one soak holds.
type Subnet struct {
	second uint64
	lock   net.Listener
}

// Reserve takes the subnet that belongs to a seed, or the next one that is free.
//
// Two soaks on the same addresses each send requests to the other's hosts, and both find writes that ran twice or not
// at all. A port that is looked for before the hosts start doesn't prevent it, as both find it free.
func Reserve(ctx context.Context, seed uint64) (*Subnet, error) {
	var cfg net.ListenConfig
	for i := range uint64(subnets) {
		second := 1 + (seed+i)%subnets
		l, err := cfg.Listen(ctx, "tcp", fmt.Sprintf("127.%d.0.1:%d", second, lockPort))
		switch {
		case err == nil:
			return &Subnet{second: second, lock: l}, nil
		case !errors.Is(err, syscall.EADDRINUSE):
			return nil, fmt.Errorf("reserve loopback addresses: %w", err)
		}
	}
	return nil, errors.New("reserve loopback addresses: all are held by other soaks")
}

// IP returns the address of host i.
func (s *Subnet) IP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.second, 1+i/perNet, firstHost+i%perNet)
}

// Close lets others have the subnet.
func (s *Subnet) Close() { _ = s.lock.Close() }
