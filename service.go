package siskin

// ServiceName identifies one service, which one group of targets provides.
type ServiceName string

// RouteName identifies one route of a service.
type RouteName string
