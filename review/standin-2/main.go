// Command review-2 plays the cases of the second review: it starts nodes as the deploy file
// says, and has stand-ins for the platform's store, backends and clients in its own process.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review-2 CASE")
		os.Exit(2)
	}
	go func() {
		time.Sleep(110 * time.Second)
		cannot("not done after 110 s")
	}()
	cases[os.Args[1]]()
}
