package siskin

// RequestsPerSecond is a rate of requests.
type RequestsPerSecond float64

// Requests is an amount of requests, such as a burst.
type Requests float64

// Units is an amount of a customer's right, out of TotalUnits.
type Units int64

// TotalUnits is the whole right of one customer. Rights are integers, so that
// transfers conserve the sum exactly.
const TotalUnits Units = 1 << 20

// Bytes is a size in bytes.
type Bytes int64

// Millicores are thousandths of a processor core.
type Millicores int
