package coldstart

// MemberName is the name of a Member, unique within a cold start.
type MemberName string

// GroupName is the name of a group of members that serve the same requests.
type GroupName string
