package budget_test

import (
	"fmt"
	"time"

	"wallflow/internal/budget"
)

// A relay may send one request in five a second time.
func ExampleRetryBudget() {
	now := time.Unix(1_000_000, 0)
	b := budget.NewRetryBudget(budget.Options{Ratio: 0.2, Window: 10 * time.Second})
	for range 5 {
		b.Request(now, "advisor")
	}
	fmt.Println(b.Take(now, "advisor"))
	fmt.Println(b.Take(now, "advisor"))
	// Output:
	// true
	// false
}

// The owner of a cold endpoint sends no more to it than its bound.
func ExampleColdLimiter() {
	now := time.Unix(1_000_000, 0)
	most := budget.ColdBound{PerSecond: 3, Overshoot: 1.5, Slack: 5}.PerOwner()
	limiter := budget.NewColdLimiter()
	for range 5 {
		fmt.Print(limiter.Take(now, "i-7f3a91c2", most), " ")
	}
	fmt.Println(limiter.NextAt(now, "i-7f3a91c2", most).Sub(now) >= time.Second)
	// Output: true true true false false true
}
