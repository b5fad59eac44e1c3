package token_test

import (
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/pkg/token"
)

func Example() {
	codec, err := token.NewCodec([]byte("a random signing key"), nil)
	if err != nil {
		panic(err)
	}
	text := codec.Encode(token.Token{Service: "badges", Position: siskin.Position{Term: 2, LSN: 700}})
	floor, err := codec.Verify("badges", []byte(text))
	if err != nil {
		panic(err)
	}
	behind := &siskin.TargetStatus{StreamTerm: 2, Applied: 650}
	current := &siskin.TargetStatus{StreamTerm: 2, Applied: 710}
	fmt.Println(floor.Term, floor.LSN, token.CanServe(behind, floor), token.CanServe(current, floor))
	// Output: 2 0/2BC false true
}
