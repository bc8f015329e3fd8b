package spillover

import (
	"fmt"
	"time"
)

// Price is the delay that is accepted to save sending a mebibyte to another data centre.
type Price time.Duration

// DefaultPrice makes requests of some hundred kilobytes cost about as much as the latency
// between data centres.
const DefaultPrice = Price(5 * time.Millisecond)

// MaxPrice is the highest valid price.
const MaxPrice = Price(time.Minute)

// NewPrice returns a price, or an error if it is not a positive duration up to MaxPrice.
func NewPrice(perMebibyte time.Duration) (Price, error) {
	if price := Price(perMebibyte); price > 0 && price <= MaxPrice {
		return price, nil
	}
	return 0, fmt.Errorf("price of a mebibyte is %s, expected a duration above zero and up to %s", perMebibyte, time.Duration(MaxPrice))
}

// of returns the price of a number of bytes.
func (price Price) of(bytes int) time.Duration {
	return time.Duration(float64(price) * float64(max(0, bytes)) / (1 << 20))
}
