package coordclient_test

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net/http/httptest"
	"strings"
	"time"

	"ivybank/coordclient"
)

// exampleClient stands for coordclient.New with the addresses of a fleet's control processes.
func exampleClient() (*coordclient.Client, func()) {
	server := httptest.NewServer(newFakeServer())
	client, err := coordclient.New(coordclient.Options{Addresses: []string{strings.TrimPrefix(server.URL, "http://")}})
	if err != nil {
		log.Fatal(err)
	}
	return client, func() { client.Close(); server.Close() }
}

// register is a resource that is written under a lock. It rejects fences lower than the highest one it has seen.
type register struct {
	fence uint64
	text  string
}

func (r *register) write(fence uint64, text string) error {
	if fence < r.fence {
		return errors.New("a later holder has written")
	}
	r.fence, r.text = fence, text
	return nil
}

// The work under a lock runs with the context of the lock, and the resource that it changes checks the fence.
func ExampleClient_Lock() {
	client, done := exampleClient()
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	var certificates register
	lock, err := client.Lock(ctx, "certificate-4711", 3*time.Second)
	if err != nil {
		log.Fatal(err)
	}
	defer func() { _ = lock.Finish(ctx) }()
	if lock.Context().Err() != nil {
		return // the lock is lost: the work must stop
	}
	fmt.Println(certificates.write(lock.Fence(), "issued"))
	fmt.Println(certificates.write(lock.Fence()-1, "issued again"))
	// Output:
	// <nil>
	// a later holder has written
}

// The numbers of one name increase, possibly with gaps.
func ExampleClient_NextNumber() {
	client, done := exampleClient()
	defer done()
	ctx := context.Background()

	first, err := client.NextNumber(ctx, "extract")
	if err != nil {
		log.Fatal(err)
	}
	second, err := client.NextNumber(ctx, "extract")
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(second > first)
	// Output: true
}

// Compare and set: get a key, then put a new value only if the key has not been put since. The values carry
// a counter, as the values of one key must differ.
func ExampleClient_PutIf() {
	client, done := exampleClient()
	defer done()
	ctx := context.Background()

	if _, err := client.PutIf(ctx, "chairs.thursday", "free/1", 0); err != nil {
		log.Fatal(err)
	}
	seen, err := client.Get(ctx, "chairs.thursday")
	if err != nil {
		log.Fatal(err)
	}
	if _, err := client.Put(ctx, "chairs.thursday", "given to someone else/2"); err != nil {
		log.Fatal(err)
	}
	_, err = client.PutIf(ctx, "chairs.thursday", "given to us/3", seen.Revision)
	var mismatch *coordclient.MismatchError
	fmt.Println(errors.As(err, &mismatch))
	// Output: true
}

// A watch yields each put in a group of keys once, and can be continued from its revision.
func ExampleClient_Watch() {
	client, done := exampleClient()
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	start, err := client.Put(ctx, "chairs.monday", "free/1")
	if err != nil {
		log.Fatal(err)
	}
	for i, value := range []string{"taken/2", "free/3"} {
		if _, err := client.Put(ctx, "chairs.monday", value); err != nil {
			log.Fatal(i, err)
		}
	}
	watch := client.Watch("chairs.", start)
	for change, err := range watch.Changes(ctx) {
		if err != nil {
			log.Fatal(err)
		}
		fmt.Println(change.Key, change.Value)
		if change.Value == "free/3" {
			break
		}
	}
	// Output:
	// chairs.monday taken/2
	// chairs.monday free/3
}
