package siskin

// ServiceName names one service, which one group of targets serves.
type ServiceName string

// RouteName names one route of a service.
type RouteName string
