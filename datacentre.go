package siskin

// DataCentreID identifies one data centre, such as "turku-1".
type DataCentreID string
