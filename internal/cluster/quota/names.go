package quota

// LimitName is the name of a Limit, unique within a Config.
type LimitName string

// InstanceName is the name of a backend instance. It does not change when the instance's process restarts.
type InstanceName string

// ClientKey identifies one process that draws from rates, by its instance and its incarnation.
type ClientKey string

// NewClientKey returns the key of one process of an instance.
func NewClientKey(name InstanceName, incarnation string) ClientKey {
	return ClientKey(string(name) + " " + incarnation)
}

// PermitKey identifies the permit that one instance may hold under one concurrency limit.
type PermitKey string

func newPermitKey(limit LimitName, name InstanceName) PermitKey {
	return PermitKey(string(limit) + " " + string(name))
}
