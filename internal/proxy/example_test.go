package proxy_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/proxy"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

// serveEndpoint starts an endpoint of the service slot-register.
func serveEndpoint() (*http.Server, registry.Instance) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Stamp", "3e1b.07")
		fmt.Fprintf(w, "%s is booked at %s", r.RequestURI, r.Header.Get("X-Expect-Instance"))
	})}
	go server.Serve(listener)
	return server, registry.Instance{
		ID: "i-7f3a91c2", Backend: "slot-register", Address: listener.Addr().String(), Zone: "hall-a",
		State: registry.StateReady, Slots: 6,
	}
}

// A relay with one route and one endpoint serves a client.
func ExampleServer() {
	endpoint, instance := serveEndpoint()
	defer endpoint.Close()

	compiled := config.Compile(&config.Document{
		Generation: 1,
		Routes: []config.Route{{
			Name: "gate-confirm", Host: "gate.example", PathPrefix: "/gate/", Kind: config.KindUnsafe, TimeoutMs: 3000, TargetMs: 300,
			Backend: "slot-register", Retries: 2,
		}},
		Backends: []config.Backend{{Name: "slot-register", MaxConns: 96}},
	})
	chooser := selector.New(selector.Options{Zone: "hall-a", Region: "tema", Zones: map[string]string{"hall-a": "tema"}})
	chooser.SetConfig(time.Now(), compiled)
	chooser.SetInstances(time.Now(), []registry.Instance{instance})

	var lock sync.Mutex
	server := proxy.New(proxy.Options{
		Config: func() *config.Compiled { return compiled }, Chooser: chooser, Lock: &lock,
		Pool: upstream.NewPool(upstream.Options{}),
	})
	listener, err := proxy.Listen("127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	go server.Serve(listener)
	defer server.Close()

	request, _ := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/gate//17%2F3", nil)
	request.Host = "gate.example"
	request.Header.Set("X-Request-Id", "9c41d07be2a35f68")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	fmt.Println(response.StatusCode, response.Header.Get("X-Server-Stamp"), string(body))
	// Output: 200 3e1b.07 /gate//17%2F3 is booked at i-7f3a91c2
}
