package plat_test

import (
	"context"
	"fmt"

	"siskintray.example/siskin"
	"siskintray.example/siskin/internal/stand/objapi"
	"siskintray.example/siskin/pkg/plat"
)

func Example() {
	platform, err := objapi.Start(objapi.Config{})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer platform.Close()
	c, err := plat.New(plat.Config{Addresses: []string{platform.Address()}})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer c.Close()
	ctx := context.Background()
	version, err := c.Put(ctx, "Config/Head", []byte("{}"), 0, "operation-1")
	fmt.Println(version, err)
	_, err = c.Put(ctx, "Config/Head", []byte("{}"), 0, "operation-2")
	fmt.Println(siskin.KindOf(err))
	// Output:
	// 1 <nil>
	// Conflict
}
