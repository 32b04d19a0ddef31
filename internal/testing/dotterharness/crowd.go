package dotterharness

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdTimeout bounds what a client of a crowd waits for.
	crowdTimeout = 30 * time.Second
	// maxDials is how many clients of a crowd connect at a time; a listener's queue is short.
	maxDials = 32
)

// Message is what a client of a crowd sends on its connection.
type Message struct {
	Method  string
	Path    string // may contain one verb for the number of the client
	Host    string
	Header  string // further lines, each with its end
	Endless bool   // the header does not end, and there is no body
	Body    []byte
	Chunk   int // size of the chunks, bytes; 0: the length is announced
	Missing int // bytes at the end of the body that are not sent
	Times   int // how often it is sent; 0: once
}

// header returns the header of the client with the number.
func (m Message) header(client int) string {
	path := m.Path
	if strings.Contains(path, "%") {
		path = fmt.Sprintf(path, client)
	}
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", m.Method, path, m.Host, m.Header)
	switch {
	case m.Endless:
		return h
	case m.Chunk > 0:
		return h + "Transfer-Encoding: chunked\r\n\r\n"
	case len(m.Body) > 0:
		return h + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(m.Body))
	}
	return h + "\r\n"
}

// body returns the part of the body that is sent, encoded.
func (m Message) body() []byte {
	if m.Chunk == 0 {
		return m.Body[:len(m.Body)-m.Missing]
	}
	var b bytes.Buffer
	for rest := m.Body; len(rest) > 0; {
		chunk := rest[:min(m.Chunk, len(rest))]
		rest = rest[len(chunk):]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	if m.Missing > 0 { // also the end of the last chunk
		b.Truncate(b.Len() - 2 - m.Missing)
	} else {
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

// Fill returns start, as many items as fit, blanks and end, in all of the size in bytes.
func Fill(size int, start, item, end string) []byte {
	body := start + strings.Repeat(item, (size-len(start)-len(end))/len(item))
	return []byte(body + strings.Repeat(" ", size-len(body)-len(end)) + end)
}

// Crowd is a number of clients that keep their connections open until the test ends.
type Crowd struct {
	sent    sync.WaitGroup
	reading sync.WaitGroup

	mu       sync.Mutex
	conns    []net.Conn
	statuses map[int]int // clients by the status of their first answer; 0: none
}

// StartCrowd connects clients to the address, each of which sends the message. Unless unread is
// set, they read the answer.
func StartCrowd(t testing.TB, address string, clients int, m Message, unread bool) *Crowd {
	c := &Crowd{statuses: map[int]int{}}
	t.Cleanup(c.close)
	body := m.body()
	dials := make(chan struct{}, maxDials)
	for client := range clients {
		c.sent.Add(1)
		go func() {
			defer c.sent.Done()
			dials <- struct{}{}
			conn, err := net.DialTimeout("tcp", address, crowdTimeout)
			<-dials
			if err != nil {
				return // refused, which is allowed
			}
			c.add(conn)
			if !unread {
				c.reading.Add(1)
				go func() { defer c.reading.Done(); c.read(conn) }()
			}
			header := []byte(m.header(client))
			_ = conn.SetWriteDeadline(time.Now().Add(crowdTimeout))
			for range max(1, m.Times) {
				buffers := net.Buffers{header, body}
				if _, err := buffers.WriteTo(conn); err != nil {
					return // closed, which is allowed
				}
			}
		}()
	}
	return c
}

// AwaitSent waits until all clients have sent what they send, or cannot.
func (c *Crowd) AwaitSent() {
	c.sent.Wait()
}

// AwaitAnswers waits until all clients have an answer or no connection any more, and returns how many
// got which status; 0 is no answer.
func (c *Crowd) AwaitAnswers() map[int]int {
	c.sent.Wait()
	c.reading.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statuses
}

func (c *Crowd) add(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
}

func (c *Crowd) read(conn net.Conn) {
	status := 0
	_ = conn.SetReadDeadline(time.Now().Add(crowdTimeout))
	if answer, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
		status = answer.StatusCode
		_ = answer.Body.Close()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statuses[status]++
}

func (c *Crowd) close() {
	c.sent.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
