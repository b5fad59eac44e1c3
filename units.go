package siskin

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Requests is a number of requests, such as a burst.
type Requests float64

// QuotaUnits is a share of a customer's rate quota, out of TotalQuotaUnits.
type QuotaUnits int64

// TotalQuotaUnits is the whole quota of one customer. Quotas are integers, so
// that transfers conserve the sum exactly.
const TotalQuotaUnits QuotaUnits = 1 << 20

// Bytes is a size in bytes.
type Bytes int64

// Millicores are thousandths of a processor core.
type Millicores int
