package main

import (
	"math/rand/v2"
	"time"
)

// killed kills most processes at one moment, again and again, while the tenants ask for more than their limits.
func killed(dir string) (int, error) {
	const (
		hosts  = 9
		kill   = 7
		rounds = 9
		// perSecond is what each tenant asks for, of a limit of 33.
		perSecond = 80
	)
	t, err := newTenants(dir, "killed-7.json", hosts, 16, 33, 20)
	if err != nil {
		return failed, err
	}
	w := t.world
	defer w.end()
	t.load(perSecond, perSecond, 12*time.Second)
	for n := range rounds {
		victims := rand.Perm(hosts)[:kill]
		if w.trouble {
			for _, i := range victims {
				_ = w.hosts[i].cmd.Process.Kill()
				<-w.hosts[i].done
			}
			w.log("%d processes are killed for the %d. time", kill, n+1)
		}
		t.load(perSecond, perSecond, time.Second)
		if w.trouble {
			for _, i := range victims {
				if err := w.startHost(w.hosts[i]); err != nil {
					return failed, err
				}
			}
		}
		t.load(perSecond, perSecond, 10*time.Second)
	}
	return t.judge(), nil
}
