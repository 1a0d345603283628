package budget_test

import (
	"fmt"
	"time"

	"wallflow/internal/budget"
)

// With a ratio of 0.2, a relay may retry one request in five.
func ExampleRetryBudget() {
	now := time.Unix(1_000_000, 0)
	b := budget.NewRetryBudget(budget.Options{Ratio: 0.2, Window: 10 * time.Second})
	for range 5 {
		b.CountRequest(now, "advisor")
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
	limit := budget.ColdBound{PerSecond: 3, Overshoot: 1.5, Slack: 5}.PerOwner()
	limiter := budget.NewColdLimiter()
	for range 5 {
		fmt.Print(limiter.Take(now, "i-7f3a91c2", limit), " ")
	}
	fmt.Println(limiter.NextAt(now, "i-7f3a91c2", limit).Sub(now) >= time.Second)
	// Output: true true true false false true
}
