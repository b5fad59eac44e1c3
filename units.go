package siskin

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Requests is an amount of requests, such as a burst.
type Requests float64

// QuotaUnits is an amount of a customer's right, out of TotalQuotaUnits.
type QuotaUnits int64

// TotalQuotaUnits is the whole right of one customer. Rights are integers, so that
// transfers conserve the sum exactly.
const TotalQuotaUnits QuotaUnits = 1 << 20

// Bytes is a size in bytes.
type Bytes int64

// Millicores are thousandths of a processor core.
type Millicores int
