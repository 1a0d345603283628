package transport_test

import (
	"fmt"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"wallflow/internal/transport"
)

// One mesh sends a message to another on the same machine, which prints it.
func ExampleListen() {
	done := make(chan struct{})
	receiver, err := transport.Listen(transport.Options{
		Address: "127.0.0.1:0",
		Handler: func(_ string, kind transport.Kind, payload []byte) {
			var message wrapperspb.StringValue
			if proto.Unmarshal(payload, &message) == nil {
				fmt.Println(kind == transport.KindLease, message.Value)
			}
			close(done)
		},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer receiver.Close()
	sender, err := transport.Listen(transport.Options{
		Address: "127.0.0.1:0",
		Handler: func(string, transport.Kind, []byte) {},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer sender.Close()
	sender.Send(receiver.Address(), transport.KindLease, wrapperspb.String("token 7"))
	<-done
	// Output: true token 7
}
