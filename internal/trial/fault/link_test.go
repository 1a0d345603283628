package fault

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// echo starts a server that sends back what it receives, and returns a function that connects to it.
func echo(t *testing.T) DialFunc {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	}
}

func newLink(t *testing.T, f Faults, dial DialFunc) *Link {
	k, err := NewLink("a>b", "127.0.0.1", 1, f, dial)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

func connect(t *testing.T, k *Link) net.Conn {
	c, err := net.Dial("tcp", k.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c net.Conn, n int) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, n)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	return string(buf)
}

// silent checks that nothing arrives for a while and the connection stays open.
func silent(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var timeout net.Error
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("read %d bytes, err %v; want silence", n, err)
	}
}

func TestLinkForwardsBothDirectionsAndEOF(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	big := bytes.Repeat([]byte("0123456789"), 50_000)
	go func() {
		c.Write(big)
		c.(*net.TCPConn).CloseWrite()
	}()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	received, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(received, big) {
		t.Fatalf("received %d bytes of %d, err %v", len(received), len(big), err)
	}
}

func TestDelayAndLossKeepStreamIntact(t *testing.T) {
	const delay = 30 * time.Millisecond
	k := newLink(t, Faults{To: Direction{Delay: delay, Jitter: 0.2, Loss: 0.5}, From: Direction{Delay: delay}}, echo(t))
	c := connect(t, k)
	began := time.Now()
	for i := range 5 {
		send(t, c, string(rune('a'+i)))
	}
	if got := receive(t, c, 5); got != "abcde" {
		t.Errorf("received %q", got)
	}
	if took := time.Since(began); took < 2*delay*8/10 {
		t.Errorf("took %v over a link of %v each way", took, delay)
	}
}

// A cut link delivers nothing, and delivers what was held back once it is healed.
func TestCutLinkIsSilentForOldAndNewConnections(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	send(t, c, "a")
	receive(t, c, 1)
	k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = true, true })
	send(t, c, "b")
	silent(t, c)
	if n, err := net.DialTimeout("tcp", k.Addr(), 150*time.Millisecond); err == nil {
		n.Close()
		t.Error("a connection was established over a cut link")
	}
	k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = false, false })
	if got := receive(t, c, 1); got != "b" {
		t.Errorf("received %q after the link was healed", got)
	}
	n := connect(t, k)
	send(t, n, "c")
	receive(t, n, 1)
}

// A client may connect just as the link is cut, write and give up. None of its data may be delivered after the link is
// healed, where it would look like new data.
func TestHealedLinkDeliversNoStaleData(t *testing.T) {
	received := make(chan string, 64)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				data, _ := io.ReadAll(c)
				if len(data) > 0 {
					received <- string(data)
				}
			}()
		}
	}()
	k := newLink(t, Faults{}, func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	})
	var wg sync.WaitGroup
	var ending atomic.Bool // the cut ends soon: writes from now on may be delivered rightly
	stop := make(chan struct{})
	for range 8 { // some of them connect at the moment of the cut
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.DialTimeout("tcp", k.Addr(), 30*time.Millisecond); err == nil {
					if k.Faults().To.Cut && !ending.Load() {
						io.WriteString(c, "old")
					}
					c.Close()
				}
			}
		})
	}
	for range 5 {
		time.Sleep(10 * time.Millisecond)
		ending.Store(false)
		k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = true, true })
		time.Sleep(60 * time.Millisecond)
		ending.Store(true)
		time.Sleep(10 * time.Millisecond)
		k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = false, false })
	}
	close(stop)
	wg.Wait()
	c := connect(t, k)
	send(t, c, "new")
	c.(*net.TCPConn).CloseWrite()
	for {
		select {
		case text := <-received:
			if text == "new" {
				return
			}
			t.Errorf("%q was delivered although the link was cut when it was written", text)
		case <-time.After(10 * time.Second):
			t.Fatal("nothing is delivered over the link")
		}
	}
}

func TestOneWayCut(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	send(t, c, "a")
	receive(t, c, 1)
	k.Change(func(f *Faults) { f.From.Cut = true })
	send(t, c, "b") // it is delivered, and the reply is held back
	silent(t, c)
	k.Change(func(f *Faults) { f.From.Cut = false })
	if got := receive(t, c, 1); got != "b" {
		t.Errorf("received %q", got)
	}
}

func TestResetAndRefuse(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	send(t, c, "a")
	receive(t, c, 1)
	k.Reset()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("err %v, want a reset", err)
	}
	k.Set(Faults{Refuse: true})
	refused(t, k)
}

// refused checks that a new connection is reset. The accept queue takes the connection first, so the reset may arrive
// after connecting.
func refused(t *testing.T, k *Link) {
	t.Helper()
	c, err := net.Dial("tcp", k.Addr())
	if err == nil {
		defer c.Close()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = c.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("err %v, want a reset", err)
	}
}

func TestUnreachableFarSideResetsConnection(t *testing.T) {
	k := newLink(t, Faults{}, func(context.Context) (net.Conn, error) { return nil, errors.New("no process") })
	refused(t, k)
}

func TestPacketLossAndReplies(t *testing.T) {
	far, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := far.ReadFromUDP(buf)
			if err != nil {
				return
			}
			far.WriteToUDP(buf[:n], from)
		}
	}()
	k, err := NewPacketLink("a>b", "127.0.0.1", far.LocalAddr().String(), 1, Faults{To: Direction{Loss: 0.3}})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	c, err := net.Dial("udp", k.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const sent = 200
	replies := 0
	for range sent {
		c.Write([]byte("x"))
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := c.Read(make([]byte, 10)); err == nil {
			replies++
		}
	}
	if lost := k.Dropped(); lost < sent/5 || lost > sent/2 || replies > sent-int(lost) {
		t.Errorf("%d of %d packets lost at a loss of 30%%, %d replies", lost, sent, replies)
	}
	k.Set(Faults{From: Direction{Cut: true}})
	c.Write([]byte("x"))
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(make([]byte, 10)); err == nil {
		t.Error("a reply arrived over a cut link")
	}
}

// Parties of the same group reach each other, those of different groups do not, and parties in no group form one group.
func TestPartition(t *testing.T) {
	var n Network
	links := map[string]*Link{}
	for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"c", "d"}} {
		k := newLink(t, Faults{To: Direction{Delay: time.Millisecond}}, echo(t))
		links[pair[0]+pair[1]] = k
		n.Add(pair[0], pair[1], k)
	}
	expectCut := func(when string, ab, ac, cd bool) {
		t.Helper()
		for name, cut := range map[string]bool{"ab": ab, "ac": ac, "cd": cd} {
			f := links[name].Faults()
			if f.To.Cut != cut || f.To.Delay != time.Millisecond {
				t.Errorf("%s: link %s is %+v", when, name, f)
			}
		}
	}
	n.Partition(false, []string{"a", "b"})
	expectCut("a and b apart", false, true, false)
	addedLink := newLink(t, Faults{}, echo(t))
	n.Add("b", "c", addedLink)
	if !addedLink.Faults().To.Cut {
		t.Error("a link that was added during the partition is not cut")
	}
	n.Partition(true, []string{"a"}, []string{"c"})
	if f := links["ac"].Faults(); !f.To.Cut || f.From.Cut {
		t.Errorf("one way: %+v", f)
	}
	n.Heal()
	expectCut("healed", false, false, false)
}

// A cut that fails is reported: a trial that goes on without the cut would prove nothing.
func TestFailedCutIsReported(t *testing.T) {
	k, err := NewLink("a>b", "127.0.0.1", 1, Faults{}, func(context.Context) (net.Conn, error) { return nil, errors.New("no process") })
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	k.Set(Faults{To: Direction{Cut: true}})
	k.Set(Faults{})
	if err := k.Err(); err != nil {
		t.Fatalf("a cut and a healing: %v", err)
	}
	k.listener.Close()
	k.Set(Faults{To: Direction{Cut: true}})
	if err := k.Err(); err == nil || !strings.Contains(err.Error(), "link a>b: cut: ") {
		t.Errorf("%v", err)
	}
}
