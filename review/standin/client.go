package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// attempt is one client attempt and what became of it.
type attempt struct {
	id, addr string
	// kept says that an earlier request was answered on its connection.
	kept bool
	// sent is when its last byte was written, ended when its answer was whole or the connection ended.
	sent, ended time.Time
	// status is that of a whole answer, zero where none came.
	status int
	body   string
	detail string
}

// attempts collects what all clients saw.
type attempts struct {
	mu   sync.Mutex
	list []attempt
}

func (a *attempts) add(x attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

// client plays one client: it asks a directory for addresses, keeps them, and keeps its connection for many requests.
type client struct {
	name        string
	directories []string
	// patience is how many times the time told the client keeps its addresses.
	patience int
	deadline time.Duration
	rec      *record
	out      *attempts

	addrs []string
	until time.Time
	conn  net.Conn
	br    *bufio.Reader
	addr  string
	// used says that an answer came on the connection, freshUntil when it counts as idle for too long.
	used       bool
	freshUntil time.Time
	failed     map[string]bool
	n          int
}

const (
	host1   = "hufi27.example"
	path    = "/goka902/"
	idleFor = 15 * time.Second
	// mostKeep is for how many seconds addresses count at most.
	mostKeep = 5.0
)

// resolve asks the directories in turn for addresses, each for a second.
func (c *client) resolve() {
	if time.Now().Before(c.until) && len(c.addrs) > 0 {
		return
	}
	hc := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range c.directories {
		resp, err := hc.Get("http://" + d + "/resolve?name=" + host1 + "&region=perth&zone=osborne-hall")
		if err != nil {
			continue
		}
		var got struct {
			Addrs []string `json:"addrs"`
		}
		var keep map[string]any
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		err = errors.Join(err, json.Unmarshal(b, &got), json.Unmarshal(b, &keep))
		if err != nil || len(got.Addrs) == 0 {
			continue
		}
		c.addrs, c.failed = got.Addrs, map[string]bool{}
		seconds, _ := keep[word("keep")].(float64)
		c.until = time.Now().Add(time.Duration(c.patience) * time.Duration(min(seconds, mostKeep)*float64(time.Second)))
		if c.conn != nil && !slices.Contains(c.addrs, c.addr) {
			c.drop()
		}
		return
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to one of the addresses, any but those that have failed.
func (c *client) connect() bool {
	c.resolve()
	if c.conn != nil && time.Now().Before(c.freshUntil) {
		return true
	}
	c.drop()
	var list []string
	for _, a := range c.addrs {
		if !c.failed[a] {
			list = append(list, a)
		}
	}
	if len(list) == 0 {
		c.until = time.Time{}
		return false
	}
	addr := list[rand.IntN(len(list))]
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		c.failed[addr] = true
		return false
	}
	c.conn, c.br, c.addr, c.used = conn, bufio.NewReader(conn), addr, false
	return true
}

// send makes one attempt of a request that must not run twice.
func (c *client) send() {
	if !c.connect() {
		return
	}
	c.n++
	a := attempt{id: fmt.Sprintf("%s-%04d", c.name, c.n), addr: c.addr, kept: c.used}
	body := "drop-off " + a.id
	text := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		path, a.id, host1, field("request", a.id), field("deadline", fmt.Sprint(c.deadline.Milliseconds())), len(body), body)
	_ = c.conn.SetDeadline(time.Now().Add(c.deadline))
	_, err := io.WriteString(c.conn, text)
	a.sent = time.Now()
	c.rec.add("client sends %s to %s", a.id, a.addr)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	}
	var b []byte
	if err == nil {
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.ended = time.Now()
	if err != nil {
		a.detail = err.Error()
		c.rec.add("client gets no answer to %s: %s", a.id, strings.ReplaceAll(err.Error(), "\n", " "))
		c.failed[c.addr] = true
		c.drop()
	} else {
		a.status, a.body = resp.StatusCode, string(b)
		c.rec.add("client gets %d to %s", a.status, a.id)
		c.used, c.freshUntil = true, time.Now().Add(idleFor*4/5)
		if resp.Close {
			c.drop()
		}
	}
	c.out.add(a)
}

// loop sends a request, waits, and so on until done is closed.
func (c *client) loop(done <-chan struct{}, mean time.Duration) {
	defer c.drop()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(mean))):
			c.send()
		}
	}
}
