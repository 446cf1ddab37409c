package controlapi

// Columns and states of the rows of "show domains".
const (
	ColumnDomain    = "domain"
	DomainInService = "in-service"
	DomainEvacuated = "evacuated"
)
