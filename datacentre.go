package siskin

// DataCentreID names one data centre, such as "turku-1".
type DataCentreID string
