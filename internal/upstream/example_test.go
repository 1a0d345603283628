package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"wallflow/internal/upstream"
)

// Sends a request to an endpoint and reads the complete response.
func ExamplePool_Do() {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	endpoint := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		io.WriteString(w, "done: "+r.RequestURI)
	})}
	go endpoint.Serve(listener)
	defer endpoint.Close()

	pool := upstream.NewPool(upstream.Options{})
	defer pool.Close()
	target := upstream.Target{Address: listener.Addr().String(), InstanceID: "i-7f3a91c2"}
	response, err := pool.Do(context.Background(), target, &upstream.Request{
		Method: "GET", RequestTarget: "/a%2Fb", Host: "ficu95.example", Header: http.Header{"X-Request-Id": {"9c41"}}, ID: "9c41",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Close()
	body, _ := io.ReadAll(response)
	fmt.Println(response.Status, string(body), response.Complete())
	// Output: 200 done: /a%2Fb true
}
