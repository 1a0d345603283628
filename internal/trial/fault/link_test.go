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

// echo answers each connection with what comes on it, and returns how to reach it.
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

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, c net.Conn, n int) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	buf := make([]byte, n)
	if _, err := io.ReadFull(c, buf); err != nil {
		t.Fatal(err)
	}
	return string(buf)
}

// silent tells that nothing is heard for a while; the connection is open.
func silent(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	var timeout net.Error
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("read %d bytes, err %v; want silence", n, err)
	}
}

func TestALinkCarriesBothWaysAndItsEnd(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	big := bytes.Repeat([]byte("0123456789"), 50_000)
	go func() {
		c.Write(big)
		c.(*net.TCPConn).CloseWrite()
	}()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	back, err := io.ReadAll(c)
	if err != nil || !bytes.Equal(back, big) {
		t.Fatalf("%d bytes came back of %d, err %v", len(back), len(big), err)
	}
}

func TestDelayAndLossOnlyDelayAStream(t *testing.T) {
	const delay = 30 * time.Millisecond
	k := newLink(t, Faults{To: Way{Delay: delay, Jitter: 0.2, Loss: 0.5}, From: Way{Delay: delay}}, echo(t))
	c := connect(t, k)
	began := time.Now()
	for i := range 5 {
		say(t, c, string(rune('a'+i)))
	}
	if got := hear(t, c, 5); got != "abcde" {
		t.Errorf("heard %q", got)
	}
	if took := time.Since(began); took < 2*delay*8/10 {
		t.Errorf("took %v over a link of %v each way", took, delay)
	}
}

// A cut link says nothing, and goes on where it was.
func TestACutLinkIsSilentAndNoNewConnectionComesUp(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	say(t, c, "a")
	hear(t, c, 1)
	k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = true, true })
	say(t, c, "b")
	silent(t, c)
	if n, err := net.DialTimeout("tcp", k.Addr(), 150*time.Millisecond); err == nil {
		n.Close()
		t.Error("a connection came up over a cut link")
	}
	k.Change(func(f *Faults) { f.To.Cut, f.From.Cut = false, false })
	if got := hear(t, c, 1); got != "b" {
		t.Errorf("heard %q once the link was whole", got)
	}
	n := connect(t, k)
	say(t, n, "c")
	hear(t, n, 1)
}

// Whoever connected just as the link was cut, wrote and gave up: none of it comes out once the link is whole, where it
// would be taken for something that was sent only then.
func TestNothingOldComesOutOfACutLink(t *testing.T) {
	heard := make(chan string, 64)
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
					heard <- string(data)
				}
			}()
		}
	}()
	k := newLink(t, Faults{}, func(ctx context.Context) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, "tcp", l.Addr().String())
	})
	var wg sync.WaitGroup
	var ending atomic.Bool // the cut is: whoever writes late must not be taken for one who wrote during it
	stop := make(chan struct{})
	for range 8 { // some of them meet the moment of the cut
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
	say(t, c, "new")
	c.(*net.TCPConn).CloseWrite()
	for {
		select {
		case text := <-heard:
			if text == "new" {
				return
			}
			t.Errorf("%q came out of a link that was cut when it was written", text)
		case <-time.After(10 * time.Second):
			t.Fatal("nothing goes over the link")
		}
	}
}

func TestOneWayCut(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	say(t, c, "a")
	hear(t, c, 1)
	k.Change(func(f *Faults) { f.From.Cut = true })
	say(t, c, "b") // it comes there, and the answer does not come back
	silent(t, c)
	k.Change(func(f *Faults) { f.From.Cut = false })
	if got := hear(t, c, 1); got != "b" {
		t.Errorf("heard %q", got)
	}
}

func TestResetAndRefuse(t *testing.T) {
	k := newLink(t, Faults{}, echo(t))
	c := connect(t, k)
	say(t, c, "a")
	hear(t, c, 1)
	k.Reset()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("err %v, want a reset", err)
	}
	k.Set(Faults{Refuse: true})
	refused(t, k)
}

// refused tells that a new connection is reset. The system's queue takes it first, so that the reset may come to a
// side that has connected already.
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

func TestAFarSideThatCannotBeReachedIsAReset(t *testing.T) {
	k := newLink(t, Faults{}, func(context.Context) (net.Conn, error) { return nil, errors.New("nobody") })
	refused(t, k)
}

func TestPacketsAreLostAndTurnedBack(t *testing.T) {
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
	k, err := NewPacketLink("a>b", "127.0.0.1", far.LocalAddr().String(), 1, Faults{To: Way{Loss: 0.3}})
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
	came := 0
	for range sent {
		c.Write([]byte("x"))
		c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		if _, err := c.Read(make([]byte, 10)); err == nil {
			came++
		}
	}
	if lost := k.Dropped(); lost < sent/5 || lost > sent/2 || came > sent-int(lost) {
		t.Errorf("%d of %d lost at a loss of 30%%, %d came back", lost, sent, came)
	}
	k.Set(Faults{From: Way{Cut: true}})
	c.Write([]byte("x"))
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := c.Read(make([]byte, 10)); err == nil {
		t.Error("an answer came over a cut link")
	}
}

// Parties in one group reach each other, those in two do not, and whoever is in none is with the rest.
func TestPartition(t *testing.T) {
	var n Net
	links := map[string]*Link{}
	for _, pair := range [][2]string{{"a", "b"}, {"a", "c"}, {"c", "d"}} {
		k := newLink(t, Faults{To: Way{Delay: time.Millisecond}}, echo(t))
		links[pair[0]+pair[1]] = k
		n.Add(pair[0], pair[1], k)
	}
	want := func(when string, ab, ac, cd bool) {
		t.Helper()
		for name, cut := range map[string]bool{"ab": ab, "ac": ac, "cd": cd} {
			f := links[name].Faults()
			if f.To.Cut != cut || f.To.Delay != time.Millisecond {
				t.Errorf("%s: link %s is %+v", when, name, f)
			}
		}
	}
	n.Partition(false, []string{"a", "b"})
	want("a and b apart", false, true, false)
	late := newLink(t, Faults{}, echo(t))
	n.Add("b", "c", late)
	if !late.Faults().To.Cut {
		t.Error("a link that came during the partition is whole")
	}
	n.Partition(true, []string{"a"}, []string{"c"})
	if f := links["ac"].Faults(); !f.To.Cut || f.From.Cut {
		t.Errorf("one way: %+v", f)
	}
	n.Heal()
	want("healed", false, false, false)
}

// A cut that could not be made is told: a trial that went on as if there were one would prove nothing.
func TestACutThatFailsIsTold(t *testing.T) {
	k, err := NewLink("a>b", "127.0.0.1", 1, Faults{}, func(context.Context) (net.Conn, error) { return nil, errors.New("nobody") })
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	k.Set(Faults{To: Way{Cut: true}})
	k.Set(Faults{})
	if err := k.Err(); err != nil {
		t.Fatalf("a cut and a healing: %v", err)
	}
	k.l.Close()
	k.Set(Faults{To: Way{Cut: true}})
	if err := k.Err(); err == nil || !strings.Contains(err.Error(), "link a>b: cut: ") {
		t.Errorf("%v", err)
	}
}
