package siskin

// ObjectName identifies one object of the platform's API, such as "Config/Head".
type ObjectName string

// OperationID identifies one conditional update, so that an update whose
// response was lost can be recognised by reading the object back.
type OperationID string

// Object is one object of the platform's API.
type Object struct {
	Name      ObjectName
	Version   Version
	Operation OperationID // operation that wrote this version
	Value     []byte      // at most MaxObjectSize
}

// MaxObjectSize is the size of the largest value that the platform stores.
const MaxObjectSize Bytes = 1 << 20
