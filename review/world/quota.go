package main

import (
	"syscall"
	"time"
)

// quota freezes each machine once for some seconds, and lets a tenant send many times its usual once the machine has woken.
func quota(dir string) (int, error) {
	const (
		usual = 60
		few   = 2
		// hot is seven and a half times the usual, the largest that hot_tenant has in the site file.
		hot    = 450
		freeze = 4 * time.Second
		pause  = 300 * time.Millisecond
	)
	t, err := newTenants(dir, "quota-7.json", 3, 9, 100, 20)
	if err != nil {
		return failed, err
	}
	w := t.world
	defer w.end()
	t.load(usual, few, 12*time.Second)
	// Any of the machines may be the one that counts the tenant's requests, so that each freezes once.
	for n, victim := range w.hosts {
		t.load(usual, few, 10*time.Second)
		if w.trouble {
			_ = victim.cmd.Process.Signal(syscall.SIGSTOP)
			w.log("%s freezes", victim.name)
		}
		t.load(usual, few, freeze)
		if w.trouble {
			_ = victim.cmd.Process.Signal(syscall.SIGCONT)
			w.log("%s wakes", victim.name)
		}
		t.load(usual, few, pause)
		w.log("club0 sends many times its usual for the %d. time", n+1)
		t.load(hot, few, 4*time.Second)
		w.log("club0 is back at its usual")
	}
	t.load(usual, few, time.Second)
	return t.judge(), nil
}
